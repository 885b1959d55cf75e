package org.endivehold.daemon.entry;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.relay.state.SharedStore;
import org.endivehold.relay.state.StoreLease;
import org.endivehold.relay.state.StorePosition;

/** A store in memory that several daemons share, that counts their calls by kind and that can be unavailable. */
final class CountedStore {
    private static final int ANSWER_MILLIS = 4;

    private final TreeMap<String, SharedStore.Item> items = new TreeMap<>();
    private final List<SharedStore.Change> history = new ArrayList<>();
    private final List<Waiting> waiting = new ArrayList<>();
    private final Map<String, Integer> calls = new TreeMap<>();
    private long revision = 10;
    private long leases;
    private int renewals;
    private boolean down;

    private record Waiting(String prefix, long after, Promise<SharedStore.Changes> changes) {}

    /** Returns the number of calls by kind since the last time. */
    synchronized Map<String, Integer> takeCalls() {
        Map<String, Integer> taken = new TreeMap<>(calls);
        calls.clear();
        return taken;
    }

    /** Returns the number of renewals of leases that succeeded. */
    synchronized int renewals() {
        return renewals;
    }

    /** Starts or ends an outage, in which all calls are refused, including watches that wait. */
    synchronized void down(boolean value) {
        down = value;
        if (down) {
            waiting.forEach(watch -> watch.changes().tryFail(unavailable()));
            waiting.clear();
        }
    }

    synchronized void write(String key, String value) {
        revision++;
        SharedStore.Item item = new SharedStore.Item(key, Buffer.buffer(value), position());
        items.put(key, item);
        history.add(new SharedStore.Change(key, position(), Optional.of(item.value())));
        waiting.removeIf(watch -> {
            boolean due = key.startsWith(watch.prefix());
            if (due) {
                watch.changes().tryComplete(changes(watch.prefix(), watch.after()));
            }
            return due;
        });
    }

    private StorePosition position() {
        return new StorePosition(0, revision);
    }

    private SharedStore.Changes changes(String prefix, long after) {
        return new SharedStore.Changes(
                history.stream()
                        .filter(change -> change.position().revision() > after
                                && change.key().startsWith(prefix))
                        .toList(),
                position());
    }

    private static EndiveholdException unavailable() {
        return new EndiveholdException(ErrorType.STORE_UNAVAILABLE, "down");
    }

    private synchronized <T> Future<T> call(String kind, Supplier<Future<T>> answer) {
        calls.merge(kind, 1, Integer::sum);
        return down ? Future.failedFuture(unavailable()) : answer.get();
    }

    private synchronized Future<SharedStore.Changes> watch(String prefix, long after, Vertx vertx, int waitMillis) {
        SharedStore.Changes changes = changes(prefix, after);
        if (!changes.changes().isEmpty()) {
            return Future.succeededFuture(changes);
        }
        Promise<SharedStore.Changes> promise = Promise.promise();
        waiting.add(new Waiting(prefix, after, promise));
        vertx.setTimer(waitMillis, timer -> endWait(promise));
        return promise.future();
    }

    private synchronized void endWait(Promise<SharedStore.Changes> watch) {
        if (waiting.removeIf(each -> each.changes().equals(watch))) {
            watch.tryComplete(new SharedStore.Changes(List.of(), position()));
        }
    }

    private synchronized SharedStore.Range range(String prefix) {
        List<SharedStore.Item> found = items.values().stream()
                .filter(item -> item.key().startsWith(prefix))
                .toList();
        return new SharedStore.Range(found, position());
    }

    /** Returns the client of a daemon, whose answers arrive on the event loop of {@code vertx}. */
    SharedStore client(Vertx vertx) {
        return new Client(vertx);
    }

    private final class Client implements SharedStore {
        private final Vertx vertx;

        Client(Vertx vertx) {
            this.vertx = vertx;
        }

        private <T> Future<T> answer(String kind, Supplier<Future<T>> answer) {
            Promise<T> received = Promise.promise();
            call(kind, answer).onComplete(done -> vertx.timer(ANSWER_MILLIS, TimeUnit.MILLISECONDS)
                    .compose(waited -> done.succeeded()
                            ? Future.succeededFuture(done.result())
                            : Future.<T>failedFuture(done.cause()))
                    .onComplete(received));
            return received.future();
        }

        @Override
        public Future<Range> range(String prefix) {
            return answer("range", () -> Future.succeededFuture(CountedStore.this.range(prefix)));
        }

        @Override
        public Future<Range> staleRange(String prefix) {
            return answer("stale_range", () -> Future.succeededFuture(CountedStore.this.range(prefix)));
        }

        @Override
        public Future<Changes> watch(String prefix, StorePosition after, int waitMillis) {
            return answer("watch", () -> CountedStore.this.watch(prefix, after.revision(), vertx, waitMillis));
        }

        @Override
        public Future<Void> ping() {
            return answer("ping", Future::succeededFuture);
        }

        @Override
        public Future<StoreLease> grantLease(int ttlMillis) {
            return answer("lease", () -> Future.succeededFuture(new StoreLease(0, ++leases)));
        }

        @Override
        public Future<Void> renewLease(StoreLease lease) {
            return answer("renew", () -> {
                renewals++;
                return Future.succeededFuture();
            });
        }

        @Override
        public Future<Void> revokeLease(StoreLease lease) {
            return answer("revoke", Future::succeededFuture);
        }

        @Override
        public Future<Void> put(String key, Buffer value, StoreLease lease) {
            return answer("put", () -> {
                write(key, value.toString());
                return Future.succeededFuture();
            });
        }
    }
}
