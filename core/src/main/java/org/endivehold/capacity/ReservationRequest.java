package org.endivehold.capacity;

import java.util.List;
import org.endivehold.misc.UpstreamName;

/**
 * A request for capacity for one long prompt.
 *
 * @param candidates upstreams that may serve it, in order of preference
 * @param memoryTokens KV-cache memory for the whole prompt and its answer, in tokens
 * @param prefillTokens prompt tokens to prefill
 * @param mayBeSplit whether the prompt may be split over several engines
 * @param holdMillis longest time for which the reservation is held, in milliseconds
 */
public record ReservationRequest(
        List<UpstreamName> candidates, long memoryTokens, long prefillTokens, boolean mayBeSplit, long holdMillis) {}
