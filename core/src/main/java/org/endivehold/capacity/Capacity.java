package org.endivehold.capacity;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.endivehold.misc.UpstreamName;

/**
 * What this daemon may use of the upstreams. The request path takes a {@link Permit} before any byte goes upstream and
 * gives it back when the upstream has nothing left of the request. Called on the daemon's event loop only.
 */
public interface Capacity {
    /**
     * Returns the name under which settings select the implementation.
     *
     * @return {@code cold-share}, or a baseline: {@code unlimited}, {@code equal-share}
     */
    String name();

    /**
     * Returns what this daemon may use now.
     *
     * @param now monotonic time in milliseconds
     * @return a share per upstream that may serve new work, in order of names
     */
    List<Share> shares(long now);

    /**
     * Takes one slot and some memory.
     *
     * @param upstream the upstream
     * @param memoryTokens KV memory for prompt and answer, in tokens; 0 for a plain service
     * @param now monotonic time in milliseconds
     * @return the permit, or empty if the share does not suffice
     */
    Optional<Permit> acquire(UpstreamName upstream, long memoryTokens, long now);

    /**
     * Reserves capacity for a long prompt, all or nothing.
     *
     * @param request what is needed
     * @param now monotonic time in milliseconds
     * @return the permits, one per upstream; fails with {@code RESERVATION_REFUSED}
     */
    CompletionStage<List<Permit>> reserve(ReservationRequest request, long now);

    /**
     * Gives a permit back; idempotent.
     *
     * @param permit the permit
     * @param now monotonic time in milliseconds
     */
    void release(Permit permit, long now);

    /**
     * Tells of evidence that an upstream started again or fails, before any report says so.
     *
     * @param upstream the upstream
     * @param now monotonic time in milliseconds
     */
    void suspect(UpstreamName upstream, long now);
}
