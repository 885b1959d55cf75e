package org.endivehold.relay.engine;

/**
 * Cost of a predicted time, given its target: near 0 if the target will be met, 1 if it will just be missed, and more
 * if the time is longer still.
 *
 * <p>Between the safe share and the late share of the target the cost rises linearly with the risk of a miss.
 */
final class Lateness {
    /** Share of the target up to which a prediction is considered safe. */
    private static final double SAFE_SHARE = 0.6;
    /** Share of the target from which a prediction is considered a miss. */
    private static final double LATE_SHARE = 1.03;
    /**
     * Cost added per multiple of the target beyond the late share, since a shorter delay is better than a longer one.
     */
    private static final double COST_PER_TARGET_BEYOND = 0.25;
    /** Cost at the end of the safe share, so that a shorter time is slightly preferred there too. */
    private static final double COST_AT_SAFE_SHARE = 0.03;

    private Lateness() {}

    /** Returns the cost; 0 if there is no target, that is, if the target is not positive. */
    static double of(double millis, double targetMillis) {
        if (targetMillis <= 0) {
            return 0;
        }
        double share = millis / targetMillis;
        if (share <= SAFE_SHARE) {
            return COST_AT_SAFE_SHARE * share / SAFE_SHARE;
        }
        if (share < LATE_SHARE) {
            return COST_AT_SAFE_SHARE + (1 - COST_AT_SAFE_SHARE) * (share - SAFE_SHARE) / (LATE_SHARE - SAFE_SHARE);
        }
        return 1 + COST_PER_TARGET_BEYOND * (share - LATE_SHARE);
    }
}
