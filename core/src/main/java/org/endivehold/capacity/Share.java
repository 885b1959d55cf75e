package org.endivehold.capacity;

import org.endivehold.misc.UpstreamName;

/**
 * What this daemon may use of one upstream at one instant.
 *
 * @param upstream the upstream
 * @param freeSlots slots not in use
 * @param freeMemoryTokens KV memory not in use, in tokens
 * @param usedSlots slots in use by this daemon
 * @param waitingPrefillTokens prompt tokens that waited there by its last report
 * @param reportAgeMillis least age of that report, in milliseconds
 */
public record Share(
        UpstreamName upstream,
        int freeSlots,
        long freeMemoryTokens,
        int usedSlots,
        long waitingPrefillTokens,
        long reportAgeMillis) {
    private static final double MILLIS_PER_SECOND = 1_000.0;

    /**
     * Returns the prompt tokens of the report that are still expected to wait. Without this, all daemons would avoid an
     * upstream for as long as a report that showed work there stands, though the work is done.
     *
     * <p>Example: 8,000 tokens by a report 300 ms old, at 20,000 tokens a second, leave 2,000.
     *
     * @param tokensPerSecond prefill rate of the upstream
     * @return tokens, not negative
     */
    public long expectedPrefillTokens(double tokensPerSecond) {
        double drained = tokensPerSecond * reportAgeMillis / MILLIS_PER_SECOND;
        return Math.max(0, waitingPrefillTokens - Math.round(drained));
    }
}
