package org.endivehold.relay.state;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import java.util.List;
import java.util.Optional;

/**
 * Client interface of the platform's key-value store.
 *
 * <p>Each call completes within the adapter's timeout. It succeeds or fails with an
 * {@link org.endivehold.error.EndiveholdException}: {@code STORE_UNAVAILABLE} and {@code STORE_REFUSED} if the call had
 * no effect, {@code STORE_UNKNOWN} if a write may have taken effect, {@code STORE_HISTORY_GONE} if the history of a
 * watch is not available and the range has to be read again, {@code LEASE_LOST} if a lease has ended.
 *
 * <p>An answer of an older era that arrives after one of a newer era is dropped: the call fails.
 */
public interface SharedStore {
    /**
     * One item of the store.
     *
     * @param key its key
     * @param value its bytes
     * @param position point of its last change
     */
    record Item(String key, Buffer value, StorePosition position) {}

    /**
     * The result of a range read.
     *
     * @param items the items, ordered by key
     * @param position point at which the read began; it contains all changes up to this point
     */
    record Range(List<Item> items, StorePosition position) {}

    /**
     * A change of one key.
     *
     * @param key the key
     * @param position point of the change
     * @param value the new bytes, or empty if the key was removed
     */
    record Change(String key, StorePosition position, Optional<Buffer> value) {}

    /**
     * The result of a watch.
     *
     * @param changes the changes of one era, ordered by position; empty if the wait ended without one
     * @param position point from which the next watch continues
     */
    record Changes(List<Change> changes, StorePosition position) {}

    /** Sets the listener that is informed of each call that has ended; by default, calls are not reported. */
    default void onCallEnded(StoreCallListener listener) {}

    /** Reads all items with a prefix. The result is not a snapshot: its position is that of the first page. */
    Future<Range> range(String prefix);

    /**
     * Reads all items with a prefix as they were at a recent time, for a tenth of the costs. The position may be
     * earlier than the read: a watch from it reports again all that the items lack. It is {@link StorePosition#NONE} if
     * there are no items.
     */
    default Future<Range> staleRange(String prefix) {
        return range(prefix);
    }

    /**
     * Waits for changes after a point, for at most {@code waitMillis}; fails with {@code STORE_HISTORY_GONE} if the
     * store does not have that point, in particular after a restore. If a restored store has given out the same
     * revision again, the call fails when it is answered, or as soon as another call shows the newer era.
     */
    Future<Changes> watch(String prefix, StorePosition after, int waitMillis);

    /**
     * Checks that the store answers this daemon, for the costs of a stale read. The answer proves nothing about the
     * connections of other calls; no answer means that they may be as silent.
     */
    Future<Void> ping();

    /** Creates a lease that expires after {@code ttlMillis} without renewal. */
    Future<StoreLease> grantLease(int ttlMillis);

    /** Renews a lease; fails with {@code LEASE_LOST} if it has ended. */
    Future<Void> renewLease(StoreLease lease);

    /** Revokes a lease; the store removes the keys that are attached to it. */
    Future<Void> revokeLease(StoreLease lease);

    /** Writes a key that is attached to a lease; fails with {@code LEASE_LOST} if the lease has ended. */
    Future<Void> put(String key, Buffer value, StoreLease lease);
}
