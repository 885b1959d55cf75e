package org.endivehold.platform;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/**
 * The platform's key-value service with compare-and-swap, leases and watches.
 *
 * <p>Each call ends within the adapter's timeout. It succeeds, or fails with an
 * {@link org.endivehold.error.EndiveholdException} whose type tells what is known: {@code STORE_UNAVAILABLE} and
 * {@code STORE_REFUSED} mean that nothing was written; {@code STORE_UNKNOWN} means that a write may have taken effect,
 * now or later, so the caller has to read back. Values hold at most {@link #MAX_VALUE_BYTES}. Revisions are those of
 * the service: they grow with every write to any key, and a key that does not exist has revision 0.
 */
public interface PlatformStore {
    /** Largest value, in bytes. */
    int MAX_VALUE_BYTES = 1_000_000;

    /**
     * Reads one key.
     *
     * @param key the key
     * @return the entry, or empty if the key does not exist
     */
    CompletionStage<Optional<StoreEntry>> get(String key);

    /**
     * Reads all keys with a prefix.
     *
     * @param prefix the prefix
     * @return the entries, in order of keys
     */
    CompletionStage<List<StoreEntry>> list(String prefix);

    /**
     * Writes a key if its revision is the expected one.
     *
     * @param key the key
     * @param expected the revision that the key must have; 0 if it must not exist
     * @param value the new value
     * @param lease the lease to bind the key to; empty for a key that stays
     * @return whether the write took place, and the entry that stands after the call
     */
    CompletionStage<SwapResult> compareAndSwap(String key, long expected, byte[] value, Optional<LeaseId> lease);

    /**
     * Deletes a key if its revision is the expected one.
     *
     * @param key the key
     * @param expected the revision that the key must have
     * @return whether the key was deleted by this call
     */
    CompletionStage<Boolean> delete(String key, long expected);

    /**
     * Creates a lease; its keys vanish when it expires.
     *
     * @param ttl time to live, counted by the service
     * @return the new lease
     */
    CompletionStage<LeaseId> grantLease(Duration ttl);

    /**
     * Renews a lease for its time to live.
     *
     * @param lease the lease
     * @return the time to live that the service granted; fails with {@code LEASE_LOST} if it has expired
     */
    CompletionStage<Duration> renewLease(LeaseId lease);

    /**
     * Ends a lease and deletes its keys.
     *
     * @param lease the lease
     * @return when it has ended
     */
    CompletionStage<Void> revokeLease(LeaseId lease);

    /**
     * Watches all keys with a prefix until closed; the adapter reconnects by itself.
     *
     * @param prefix the prefix
     * @param listener told of each change, in order; after a gap told to read anew
     * @return closes the watch
     */
    Watch watch(String prefix, WatchListener listener);

    /** A running watch. */
    interface Watch {
        /** Ends the watch; no call to the listener starts afterwards. */
        void close();
    }
}
