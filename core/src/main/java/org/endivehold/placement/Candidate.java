package org.endivehold.placement;

import org.endivehold.misc.UpstreamName;
import org.endivehold.misc.ZoneName;

/**
 * An upstream that may serve a request now: its availability zone is in service, it is in state {@code SERVING}, and
 * this daemon has capacity there.
 *
 * @param upstream the upstream
 * @param zone its availability zone
 * @param freeSlots slots that this daemon may still use
 * @param freeMemoryTokens KV-cache memory that this daemon may still use, in tokens
 * @param streams streams of this daemon in progress on it
 * @param prefillTokensAhead prompt tokens that wait on it for prefill, as far as this daemon knows
 * @param prefillTokensPerSecond prefill rate: the estimate, or the nominal rate until there is one
 * @param cachedTokens prompt tokens expected in its prefix cache
 * @param roundTripMillis round-trip time to it in milliseconds
 * @param longAllowed whether it may serve prompts longer than the route's limit for long prompts
 */
public record Candidate(
        UpstreamName upstream,
        ZoneName zone,
        int freeSlots,
        long freeMemoryTokens,
        int streams,
        long prefillTokensAhead,
        double prefillTokensPerSecond,
        long cachedTokens,
        double roundTripMillis,
        boolean longAllowed) {}
