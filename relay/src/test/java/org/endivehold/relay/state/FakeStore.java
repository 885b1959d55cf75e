package org.endivehold.relay.state;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;

/** An in-memory store whose watches wait for writes and whose calls can be made to fail. */
final class FakeStore implements SharedStore {
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private final List<Waiting> waiting = new ArrayList<>();
    private long revision = 10;
    private long compactedRevision;
    private boolean down;
    private int ranges;

    private record Waiting(String prefix, long after, Promise<Changes> promise) {}

    void write(String key, String value) {
        revision++;
        Item item = new Item(key, Buffer.buffer(value), revision);
        items.put(key, item);
        history.add(new Change(key, revision, Optional.of(item.value())));
        wake();
    }

    void remove(String key) {
        revision++;
        items.remove(key);
        history.add(new Change(key, revision, Optional.empty()));
        wake();
    }

    /** Compacts the history; waiting watches fail with {@code STORE_HISTORY_GONE}. */
    void compact() {
        compactedRevision = revision;
        history.clear();
        fail(ErrorType.STORE_HISTORY_GONE);
    }

    /** Starts or ends an outage: all calls fail, including watches that wait. */
    void down(boolean value) {
        down = value;
        if (down) {
            fail(ErrorType.STORE_UNAVAILABLE);
        }
    }

    private void fail(ErrorType type) {
        List<Waiting> all = new ArrayList<>(waiting);
        waiting.clear();
        all.forEach(each -> each.promise().fail(new EndiveholdException(type, each.after())));
    }

    int ranges() {
        return ranges;
    }

    /** Returns the number of waiting watches. */
    int watches() {
        return waiting.size();
    }

    /** Completes all waiting watches without changes, as at the end of their wait. */
    void completeWatches() {
        List<Waiting> all = new ArrayList<>(waiting);
        waiting.clear();
        all.forEach(each -> each.promise().complete(new Changes(List.of(), revision)));
    }

    private void wake() {
        for (Waiting each : new ArrayList<>(waiting)) {
            Changes changes = changes(each.prefix(), each.after());
            if (!changes.changes().isEmpty()) {
                waiting.remove(each);
                each.promise().complete(changes);
            }
        }
    }

    private Changes changes(String prefix, long after) {
        List<Change> found = history.stream()
                .filter(change -> change.revision() > after && change.key().startsWith(prefix))
                .toList();
        return new Changes(found, revision);
    }

    private <T> Future<T> unavailable() {
        return Future.failedFuture(new EndiveholdException(ErrorType.STORE_UNAVAILABLE, "down"));
    }

    @Override
    public Future<Range> range(String prefix) {
        ranges++;
        if (down) {
            return unavailable();
        }
        List<Item> found = items.values().stream()
                .filter(item -> item.key().startsWith(prefix))
                .toList();
        return Future.succeededFuture(new Range(found, revision));
    }

    @Override
    public Future<Changes> watch(String prefix, long after, int waitMillis) {
        if (down) {
            return unavailable();
        }
        if (after < compactedRevision) {
            return Future.failedFuture(new EndiveholdException(ErrorType.STORE_HISTORY_GONE, after));
        }
        Changes changes = changes(prefix, after);
        if (!changes.changes().isEmpty()) {
            return Future.succeededFuture(changes);
        }
        Promise<Changes> promise = Promise.promise();
        waiting.add(new Waiting(prefix, after, promise));
        return promise.future();
    }

    @Override
    public Future<Long> grantLease(int ttlMillis) {
        return Future.succeededFuture(1L);
    }

    @Override
    public Future<Void> renewLease(long lease) {
        return Future.succeededFuture();
    }

    @Override
    public Future<Void> revokeLease(long lease) {
        return Future.succeededFuture();
    }

    @Override
    public Future<Void> put(String key, Buffer value, long lease) {
        write(key, value.toString());
        return Future.succeededFuture();
    }
}
