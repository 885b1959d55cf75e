package org.endivehold.capacity;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.endivehold.misc.UpstreamName;

/**
 * Decides how much of each upstream's capacity this daemon may use. The request path acquires a {@link Permit} before
 * it sends any byte upstream, and releases it when the upstream no longer works on the request. Called on the daemon's
 * event loop only.
 */
public interface Capacity {
    /**
     * Returns the name under which settings select the implementation.
     *
     * @return {@code cold-share}, or one of the baselines for comparison, {@code unlimited} and {@code equal-share}
     */
    String name();

    /**
     * Returns the capacity that this daemon may use now.
     *
     * @param now monotonic time in milliseconds
     * @return a share for each upstream that takes new work, sorted by name
     */
    List<Share> shares(long now);

    /**
     * Acquires one slot and some memory.
     *
     * @param upstream the upstream
     * @param memoryTokens KV-cache memory for prompt and answer, in tokens; 0 for a plain service
     * @param now monotonic time in milliseconds
     * @return the permit, or empty if this daemon's free share is too small
     */
    Optional<Permit> acquire(UpstreamName upstream, long memoryTokens, long now);

    /**
     * Reserves capacity for a long prompt, all or nothing.
     *
     * @param request the capacity needed
     * @param now monotonic time in milliseconds
     * @return the permits, one per upstream used; fails with {@code RESERVATION_REFUSED} if there is not enough
     */
    CompletionStage<List<Permit>> reserve(ReservationRequest request, long now);

    /**
     * Releases a permit; has no effect if it was released before.
     *
     * @param permit the permit
     * @param now monotonic time in milliseconds
     */
    void release(Permit permit, long now);

    /**
     * Reports a sign that an upstream has restarted or is failing, such as a broken stream, before any status report of
     * the upstream says so.
     *
     * @param upstream the upstream
     * @param now monotonic time in milliseconds
     */
    void suspect(UpstreamName upstream, long now);
}
