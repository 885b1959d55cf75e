package org.endivehold.daemon.entry;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.endivehold.relay.state.SharedStore;
import org.endivehold.relay.state.StoreLease;
import org.endivehold.relay.state.StorePosition;

/** One daemon's client of a store that many share; its items may look different to each daemon and never change. */
final class InMemoryStore implements SharedStore {
    private static final StorePosition POSITION = new StorePosition(0, 1);

    private final Vertx vertx;
    private final ConcurrentSkipListMap<String, Buffer> items;
    private final Function<String, Optional<Buffer>> ownValues;
    private volatile boolean leaseEndsUnanswered;

    /**
     * Creates a client.
     *
     * @param vertx runs the timers of watches
     * @param items the items of all daemons
     * @param ownValues the values that this daemon sees instead of the common ones, by key
     */
    InMemoryStore(
            Vertx vertx, ConcurrentSkipListMap<String, Buffer> items, Function<String, Optional<Buffer>> ownValues) {
        this.vertx = vertx;
        this.items = items;
        this.ownValues = ownValues;
    }

    @Override
    public Future<Range> range(String prefix) {
        return Future.succeededFuture(new Range(
                items.tailMap(prefix).entrySet().stream()
                        .filter(entry -> entry.getKey().startsWith(prefix))
                        .map(this::item)
                        .toList(),
                POSITION));
    }

    private Item item(Map.Entry<String, Buffer> entry) {
        Buffer value = ownValues.apply(entry.getKey()).orElse(entry.getValue());
        return new Item(entry.getKey(), value, POSITION);
    }

    @Override
    public Future<Changes> watch(String prefix, StorePosition after, int waitMillis) {
        return vertx.timer(waitMillis, TimeUnit.MILLISECONDS).map(waited -> new Changes(List.of(), after));
    }

    @Override
    public Future<Void> ping() {
        return Future.succeededFuture();
    }

    @Override
    public Future<StoreLease> grantLease(int ttlMillis) {
        return Future.succeededFuture(new StoreLease(1, 0));
    }

    @Override
    public Future<Void> renewLease(StoreLease lease) {
        return Future.succeededFuture();
    }

    /** Leaves calls that end a lease without an answer from now on. */
    void leaveLeaseEndsUnanswered() {
        leaseEndsUnanswered = true;
    }

    @Override
    public Future<Void> revokeLease(StoreLease lease) {
        return leaseEndsUnanswered ? Promise.<Void>promise().future() : Future.succeededFuture();
    }

    @Override
    public Future<Void> put(String key, Buffer value, StoreLease lease) {
        items.put(key, value);
        return Future.succeededFuture();
    }
}
