package org.endivehold.grant;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.endivehold.misc.StreamId;
import org.endivehold.misc.UpstreamName;

/**
 * What this daemon may use of the upstreams. The request path takes a {@link Permit} before any byte goes upstream and
 * gives it back when the upstream has nothing left of the request. Called on the daemon's event loop only.
 */
public interface Capacity {
    /**
     * Returns the name under which settings select the implementation.
     *
     * @return {@code granted}, or a baseline: {@code unlimited}, {@code equal-share}
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
     * Reserves capacity for a long prompt at the grantors, all or nothing.
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

    /**
     * Tells how much work waits for capacity, for fair division between daemons.
     *
     * @param upstream an upstream that could serve the work
     * @param slots streams or calls that wait
     * @param memoryTokens their KV memory in tokens
     */
    void demand(UpstreamName upstream, int slots, long memoryTokens);

    /**
     * Tells that this daemon now answers for a stream on an engine: one that it starts, or one of a daemon that is gone
     * and that it reads on for a caller. Such a stream is never freed as an orphan.
     *
     * @param upstream the engine
     * @param stream the stream
     */
    default void streamStarted(UpstreamName upstream, StreamId stream) {}

    /**
     * Tells that this daemon has done with a stream: it ended, or its cancellation was asked for. If the engine still
     * lists the stream a while later, the grantor has it cancelled.
     *
     * @param upstream the engine
     * @param stream the stream
     */
    default void streamEnded(UpstreamName upstream, StreamId stream) {}
}
