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
 * watch was compacted and the range has to be read again, {@code LEASE_LOST} if a lease has ended.
 */
public interface SharedStore {
    /**
     * One item of the store.
     *
     * @param key its key
     * @param value its bytes
     * @param revision revision of its last change
     */
    record Item(String key, Buffer value, long revision) {}

    /**
     * The result of a range read.
     *
     * @param items the items, ordered by key
     * @param revision revision of the store; later changes have a greater one
     */
    record Range(List<Item> items, long revision) {}

    /**
     * A change of one key.
     *
     * @param key the key
     * @param revision revision of the change
     * @param value the new bytes, or empty if the key was removed
     */
    record Change(String key, long revision, Optional<Buffer> value) {}

    /**
     * The result of a watch.
     *
     * @param changes the changes, ordered by revision; empty if the wait ended without one
     * @param revision revision from which the next watch continues
     */
    record Changes(List<Change> changes, long revision) {}

    /** Reads all items with a prefix. The result is not a snapshot: its revision is that of the first page. */
    Future<Range> range(String prefix);

    /** Waits for changes after a revision, for at most {@code waitMillis}. */
    Future<Changes> watch(String prefix, long after, int waitMillis);

    /** Creates a lease that expires after {@code ttlMillis} without renewal, and returns its id. */
    Future<Long> grantLease(int ttlMillis);

    /** Renews a lease; fails with {@code LEASE_LOST} if it has ended. */
    Future<Void> renewLease(long lease);

    /** Revokes a lease; the store removes the keys that are attached to it. */
    Future<Void> revokeLease(long lease);

    /** Writes a key that is attached to a lease; fails with {@code LEASE_LOST} if the lease has ended. */
    Future<Void> put(String key, Buffer value, long lease);
}
