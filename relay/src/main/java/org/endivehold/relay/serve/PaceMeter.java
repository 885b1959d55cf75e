package org.endivehold.relay.serve;

import java.util.OptionalDouble;

/**
 * Estimates how much slower than predicted an engine generates tokens.
 *
 * <p>A single long pause may be due to the engine prefilling other prompts, but a slow engine makes no short pauses.
 * Therefore the estimate uses the shortest of several consecutive pauses.
 */
final class PaceMeter {
    /** Number of pauses in one estimate. */
    private static final int PAUSES_PER_ESTIMATE = 4;
    /** Pauses shorter than this multiple of the prediction count as normal speed. */
    private static final double TOLERATED_FACTOR = 1.6;

    private double shortestMillis = Double.MAX_VALUE;
    private int pauseCount;

    void addPause(double millis) {
        shortestMillis = Math.min(shortestMillis, millis);
        pauseCount++;
    }

    /**
     * Returns actual divided by predicted pause, or 1 at normal speed, and resets the estimator; empty until there are
     * enough pauses.
     */
    OptionalDouble pollFactor(double predictedMillis) {
        if (pauseCount < PAUSES_PER_ESTIMATE) {
            return OptionalDouble.empty();
        }
        double factor = shortestMillis / predictedMillis;
        shortestMillis = Double.MAX_VALUE;
        pauseCount = 0;
        return OptionalDouble.of(factor < TOLERATED_FACTOR ? 1 : factor);
    }
}
