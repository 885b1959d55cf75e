package org.endivehold.relay.serve;

import org.endivehold.relay.engine.PromptNeed;

/**
 * Computes how long a stream may be silent before moving it to another engine is considered.
 *
 * <p>An engine sends no events while it prefills long prompts, so the limit includes the time of the prefills that are
 * known to be pending there. But callers give up after some time, and waiting longer is useless: the limit stays below
 * that time. Example: a short stream whose engine prefills for 5 s is considered after 1.6 s, as its caller gives up
 * after 2 s.
 */
final class SilenceLimit {
    /** Fixed part of the limit before the first event, in milliseconds. */
    private static final double FIRST_EVENT_MARGIN_MILLIS = 1_000;
    /** Multiple of the predicted time that is added to this fixed part. */
    private static final double FIRST_EVENT_FACTOR = 2;
    /** Shortest limit between events without pending prefills, in milliseconds. */
    private static final double MIN_GAP_MILLIS = 1_200;
    /** Limit between events without pending prefills, as a multiple of the route's target for pauses. */
    private static final double GAP_TARGET_FACTOR = 2;

    private SilenceLimit() {}

    /**
     * Returns the limit before the first event.
     *
     * @param need targets and remaining time of the request
     * @param predictedMillis predicted time to the first event
     * @param prefillMillis time of the prefills that are pending at the engine
     * @return milliseconds
     */
    static double beforeFirst(PromptNeed need, double predictedMillis, double prefillMillis) {
        return Math.min(
                FIRST_EVENT_MARGIN_MILLIS + FIRST_EVENT_FACTOR * predictedMillis + prefillMillis,
                need.maxSilenceMillis());
    }

    /**
     * Returns the limit between two events.
     *
     * @param need targets and remaining time of the request
     * @param prefillMillis time of the prefills that are pending at the engine
     * @return milliseconds
     */
    static double betweenEvents(PromptNeed need, double prefillMillis) {
        return Math.min(
                Math.max(MIN_GAP_MILLIS, GAP_TARGET_FACTOR * need.gapTargetMillis()) + prefillMillis,
                need.maxSilenceMillis());
    }
}
