package org.endivehold.platform;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/**
 * The platform's key-value service with compare-and-swap, leases and watches.
 *
 * <p>Each call completes within the time-out of the implementation. It succeeds, or fails with an
 * {@link org.endivehold.error.EndiveholdException} whose type shows what is known: {@code STORE_UNAVAILABLE} and
 * {@code STORE_REFUSED} mean that nothing was written; {@code STORE_UNKNOWN} means that a write may have taken effect
 * or may do so later, so the caller has to read the key back. Values have at most {@link #MAX_VALUE_BYTES} bytes.
 * Revisions are those of the service: they grow with every write to any key, and a key that does not exist has revision
 * 0.
 */
public interface PlatformStore {
    /** Largest size of a value, in bytes. */
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
     * @return the entries, sorted by key
     */
    CompletionStage<List<StoreEntry>> list(String prefix);

    /**
     * Writes a key if its revision is the expected one.
     *
     * @param key the key
     * @param expected the revision that the key must have; 0 if it must not exist
     * @param value the new value
     * @param lease the lease that the key is bound to; empty for a key without expiry
     * @return whether this call wrote the key, and the entry after the call
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
     * Creates a lease; the service deletes its keys when it expires.
     *
     * @param ttl time to live, measured by the service
     * @return the new lease
     */
    CompletionStage<LeaseId> grantLease(Duration ttl);

    /**
     * Renews a lease for another time to live.
     *
     * @param lease the lease
     * @return the time to live that the service granted; fails with {@code LEASE_LOST} if it has expired
     */
    CompletionStage<Duration> renewLease(LeaseId lease);

    /**
     * Revokes a lease and deletes its keys.
     *
     * @param lease the lease
     * @return completes when the lease has been revoked
     */
    CompletionStage<Void> revokeLease(LeaseId lease);

    /**
     * Watches all keys with a prefix until the watch is closed; the implementation reconnects automatically.
     *
     * @param prefix the prefix
     * @param listener receives each change in order, and a call of {@code resync} if changes may have been missed
     * @return the watch, to close it
     */
    Watch watch(String prefix, WatchListener listener);

    /** A running watch. */
    interface Watch {
        /** Closes the watch; the listener is not called afterwards. */
        void close();
    }
}
