package org.endivehold.relay.serve;

import org.endivehold.relay.engine.PromptNeed;

/**
 * How long a stream may be silent before it is considered for another engine.
 *
 * <p>An engine that reads long prompts writes nothing meanwhile, so the reads that are known to lie there are waited
 * for. But a caller leaves after some time, and then nothing is gained by waiting: the limit stays below that time.
 * Example: a short stream whose engine reads for 5 s is considered after 1.6 s, since its caller leaves after 2 s.
 */
final class SilenceLimit {
    /** Silence before the first event beyond the prediction, in milliseconds. */
    private static final double FIRST_MILLIS = 1_000;
    /** How many times the prediction the first event may take beside that silence. */
    private static final double FIRST_FACTOR = 2;
    /** Shortest limit between events, in milliseconds. */
    private static final double GAP_MILLIS = 1_200;
    /** Limit between events, in aims of the route. */
    private static final double GAP_AIMS = 2;

    private SilenceLimit() {}

    /** Returns the limit before the first event, in milliseconds. */
    static double beforeFirst(PromptNeed need, double predictedMillis, double readsMillis) {
        return Math.min(FIRST_MILLIS + FIRST_FACTOR * predictedMillis + readsMillis, need.patienceMillis());
    }

    /** Returns the limit between two events, in milliseconds. */
    static double betweenEvents(PromptNeed need, double readsMillis) {
        return Math.min(Math.max(GAP_MILLIS, GAP_AIMS * need.gapAimMillis()) + readsMillis, need.patienceMillis());
    }
}
