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

/** An in-memory store whose watches wait for writes, whose calls can fail, and that can be restored from a copy. */
final class FakeStore implements SharedStore {
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private final List<Waiting> waiting = new ArrayList<>();
    private long era;
    private long revision = 10;
    private long compactedRevision;
    private boolean down;
    private int ranges;
    private int calls;
    private int lastWaitMillis;
    private Optional<Range> staleState = Optional.empty();

    private record Waiting(String prefix, StorePosition after, Promise<Changes> promise) {}

    /** Contents of the store at one time. */
    record Backup(TreeMap<String, Item> items, long revision) {}

    Backup backup() {
        return new Backup(new TreeMap<>(items), revision);
    }

    /**
     * Restores an older copy: a new era begins, and waiting watches fail with {@code STORE_HISTORY_GONE}. A later watch
     * from a point of the older era waits if its revision was given out again, and fails when it is answered.
     */
    void restore(Backup backup) {
        era++;
        revision = backup.revision();
        items.clear();
        backup.items()
                .forEach((key, item) -> items.put(
                        key,
                        new Item(
                                key,
                                item.value(),
                                new StorePosition(era, item.position().revision()))));
        compact();
    }

    StorePosition position() {
        return new StorePosition(era, revision);
    }

    void write(String key, String value) {
        revision++;
        Item item = new Item(key, Buffer.buffer(value), position());
        items.put(key, item);
        history.add(new Change(key, position(), Optional.of(item.value())));
        wake();
    }

    void remove(String key) {
        revision++;
        items.remove(key);
        history.add(new Change(key, position(), Optional.empty()));
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

    /** Answers stale reads with the items as of now. */
    void holdStaleState() {
        staleState = Optional.of(new Range(List.copyOf(items.values()), position()));
    }

    /** Returns the number of ranges and watches. */
    int calls() {
        return calls;
    }

    int ranges() {
        return ranges;
    }

    /** Returns the wait of the last watch call, in milliseconds. */
    int lastWaitMillis() {
        return lastWaitMillis;
    }

    /** Returns the number of waiting watches. */
    int watches() {
        return waiting.size();
    }

    /** Completes all waiting watches without changes, as at the end of their wait. */
    void completeWatches() {
        List<Waiting> all = new ArrayList<>(waiting);
        waiting.clear();
        all.forEach(each -> answer(each, new Changes(List.of(), position())));
    }

    private void answer(Waiting watch, Changes changes) {
        if (watch.after().era() == era) {
            watch.promise().complete(changes);
        } else {
            watch.promise().fail(new EndiveholdException(ErrorType.STORE_HISTORY_GONE, watch.after()));
        }
    }

    private void wake() {
        for (Waiting each : new ArrayList<>(waiting)) {
            Changes changes = changes(each.prefix(), each.after());
            if (!changes.changes().isEmpty()) {
                waiting.remove(each);
                answer(each, changes);
            }
        }
    }

    private Changes changes(String prefix, StorePosition after) {
        List<Change> found = history.stream()
                .filter(change -> change.position().revision() > after.revision()
                        && change.key().startsWith(prefix))
                .toList();
        return new Changes(found, position());
    }

    private <T> Future<T> unavailable() {
        return Future.failedFuture(new EndiveholdException(ErrorType.STORE_UNAVAILABLE, "down"));
    }

    @Override
    public Future<Range> range(String prefix) {
        ranges++;
        calls++;
        if (down) {
            return unavailable();
        }
        List<Item> found = items.values().stream()
                .filter(item -> item.key().startsWith(prefix))
                .toList();
        return Future.succeededFuture(new Range(found, position()));
    }

    @Override
    public Future<Range> staleRange(String prefix) {
        if (down || staleState.isEmpty()) {
            return range(prefix);
        }
        return Future.succeededFuture(staleState.get());
    }

    @Override
    public Future<Changes> watch(String prefix, StorePosition after, int waitMillis) {
        calls++;
        lastWaitMillis = waitMillis;
        if (down) {
            return unavailable();
        }
        if (after.revision() > revision || after.revision() < compactedRevision) {
            return Future.failedFuture(new EndiveholdException(ErrorType.STORE_HISTORY_GONE, after));
        }
        Waiting watch = new Waiting(prefix, after, Promise.promise());
        Changes changes = changes(prefix, after);
        if (changes.changes().isEmpty() && waitMillis > 1) {
            waiting.add(watch);
        } else {
            answer(watch, changes);
        }
        return watch.promise().future();
    }

    @Override
    public Future<Void> ping() {
        return down ? unavailable() : Future.succeededFuture();
    }

    @Override
    public Future<StoreLease> grantLease(int ttlMillis) {
        return Future.succeededFuture(new StoreLease(era, 1));
    }

    @Override
    public Future<Void> renewLease(StoreLease lease) {
        return Future.succeededFuture();
    }

    @Override
    public Future<Void> revokeLease(StoreLease lease) {
        return Future.succeededFuture();
    }

    @Override
    public Future<Void> put(String key, Buffer value, StoreLease lease) {
        write(key, value.toString());
        return Future.succeededFuture();
    }
}
