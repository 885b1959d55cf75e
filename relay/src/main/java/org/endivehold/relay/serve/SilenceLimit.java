package org.endivehold.relay.serve;

import org.endivehold.relay.engine.PromptNeed;

/**
 * How long a stream may be silent before it is moved to another engine.
 *
 * <p>An engine that reads long prompts writes nothing meanwhile, so the reads that are known to lie there are waited
 * for. But a caller gives up after some time, and then nothing is gained by waiting: the limit stays below that time.
 * Example: a short stream whose engine reads for 5 s is moved after 1.6 s, since its caller leaves after 2 s.
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
    /** Shortest silence after which callers give up, in milliseconds. */
    private static final double LEAST_PATIENCE_MILLIS = 2_000;
    /** Silence after which callers give up, in aims for the first event. */
    private static final double PATIENCE_FIRST_AIMS = 4;
    /** Silence after which callers give up, in aims for pauses. */
    private static final double PATIENCE_GAP_AIMS = 8;
    /** Part of the caller's patience that is waited. */
    private static final double PATIENCE_SHARE = 0.8;

    private SilenceLimit() {}

    /** Returns the limit before the first event, in milliseconds. */
    static double beforeFirst(PromptNeed need, double predictedMillis, double readsMillis) {
        return Math.min(FIRST_MILLIS + FIRST_FACTOR * predictedMillis + readsMillis, longest(need));
    }

    /** Returns the limit between two events, in milliseconds. */
    static double betweenEvents(PromptNeed need, double readsMillis) {
        return Math.min(Math.max(GAP_MILLIS, GAP_AIMS * need.gapAimMillis()) + readsMillis, longest(need));
    }

    private static double longest(PromptNeed need) {
        double aims = Math.max(PATIENCE_FIRST_AIMS * need.firstAimMillis(), PATIENCE_GAP_AIMS * need.gapAimMillis());
        return PATIENCE_SHARE * Math.max(LEAST_PATIENCE_MILLIS, aims);
    }
}
