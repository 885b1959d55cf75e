package org.endivehold.relay.engine;

/** How likely a predicted time misses its aim, as a simple ramp. */
final class Lateness {
    /** Share of the aim up to which a prediction is safe. */
    private static final double SAFE_SHARE = 0.6;
    /** Share of the aim from which a prediction is taken to miss it. */
    private static final double LATE_SHARE = 1.03;
    /** Further cost for each aim's length beyond a miss: late is better than later. */
    private static final double BEYOND = 0.25;
    /** Cost at the end of the safe share: sooner is a little better also there. */
    private static final double EARLY = 0.03;

    private Lateness() {}

    static double risk(double millis, double aimMillis) {
        if (aimMillis <= 0) {
            return 0;
        }
        double share = millis / aimMillis;
        if (share <= SAFE_SHARE) {
            return EARLY * share / SAFE_SHARE;
        }
        if (share < LATE_SHARE) {
            return EARLY + (1 - EARLY) * (share - SAFE_SHARE) / (LATE_SHARE - SAFE_SHARE);
        }
        return 1 + BEYOND * (share - LATE_SHARE);
    }
}
