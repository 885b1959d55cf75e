package org.endivehold.capacity;

import java.util.List;
import org.endivehold.misc.UpstreamName;

/**
 * A wish for capacity for one long prompt.
 *
 * @param candidates upstreams that may serve it, the most wanted first
 * @param memoryTokens KV memory in tokens that the prompt and its answer need in all
 * @param prefillTokens prompt tokens to prefill
 * @param mayBeSplit whether several engines may hold parts of it
 * @param holdMillis longest time that the reservation is held, in milliseconds
 */
public record ReservationRequest(
        List<UpstreamName> candidates, long memoryTokens, long prefillTokens, boolean mayBeSplit, long holdMillis) {}
