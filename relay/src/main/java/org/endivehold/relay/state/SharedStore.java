package org.endivehold.relay.state;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import java.util.List;
import java.util.Optional;

/**
 * The calls of the platform's store that a daemon makes.
 *
 * <p>A call ends within the adapter's timeout. It succeeds or fails with an
 * {@link org.endivehold.error.EndiveholdException}: {@code STORE_UNAVAILABLE} and {@code STORE_REFUSED} if nothing was
 * done, {@code STORE_UNKNOWN} if a write may have been done, {@code STORE_HISTORY_GONE} if a watch has to begin anew,
 * {@code LEASE_LOST} if a lease has ended.
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
     * Items with a common prefix.
     *
     * @param items the items, in order of keys
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
     * Changes since a revision.
     *
     * @param changes the changes, in order
     * @param revision where to go on
     */
    record Changes(List<Change> changes, long revision) {}

    /** Reads all items with a prefix. The result is no snapshot: its revision is that of the first page. */
    Future<Range> range(String prefix);

    /** Waits for changes after a revision, for a time at most. */
    Future<Changes> watch(String prefix, long after, int waitMillis);

    /** Creates a lease and returns its id. */
    Future<Long> lease(int ttlMillis);

    /** Renews a lease. */
    Future<Void> keep(long lease);

    /** Ends a lease; its keys go. */
    Future<Void> end(long lease);

    /** Writes a key that goes with a lease. */
    Future<Void> put(String key, Buffer value, long lease);
}
