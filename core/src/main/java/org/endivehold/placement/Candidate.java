package org.endivehold.placement;

import org.endivehold.misc.UpstreamName;
import org.endivehold.misc.ZoneName;

/**
 * An upstream that may serve a request now: its zone is in, it is not leaving, and this daemon has capacity there.
 *
 * @param upstream the upstream
 * @param zone its availability zone
 * @param freeSlots slots that this daemon may still use
 * @param freeMemoryTokens KV memory that this daemon may still use, in tokens
 * @param streams streams of this daemon in progress there
 * @param prefillTokensAhead prompt tokens that wait there, as far as this daemon knows
 * @param prefillTokensPerSecond prefill rate, learned or nominal
 * @param cachedTokens prompt tokens expected in its prefix cache
 * @param distanceMillis round trip to it in milliseconds
 * @param longAllowed whether prompts above the route's bound may go there
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
        double distanceMillis,
        boolean longAllowed) {}
