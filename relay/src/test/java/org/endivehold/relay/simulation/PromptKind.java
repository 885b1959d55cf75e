package org.endivehold.relay.simulation;

import java.util.Random;

/**
 * A kind of prompts.
 *
 * @param name its name
 * @param perSecond arrivals a second
 * @param firstAimMillis time to the first event that is on time
 * @param gapAimMillis pause that is on time
 * @param deadlineMillis time until which callers wait in all
 * @param worth worth in time
 * @param lateWorth worth when late
 * @param tokens lengths of prompts
 * @param events events of an answer
 */
record PromptKind(
        String name,
        double perSecond,
        double firstAimMillis,
        double gapAimMillis,
        double deadlineMillis,
        double worth,
        double lateWorth,
        Length tokens,
        Length events) {
    /** Part of the worth that does not depend on the length. */
    private static final double FIXED_WORTH = 0.3;
    /** Most worth of one request, in worths of its kind. */
    private static final double MOST_WORTH = 4;

    /**
     * A log-normal length.
     *
     * @param mean its mean
     * @param spread standard deviation of its logarithm
     * @param most largest value
     */
    record Length(double mean, double spread, double most) {
        double draw(Random random) {
            double log = Math.log(mean) - spread * spread / 2 + spread * random.nextGaussian();
            return Math.max(1, Math.min(most, Math.exp(log)));
        }
    }

    double credit(double length, boolean inTime) {
        double size = FIXED_WORTH + (1 - FIXED_WORTH) * length / tokens.mean();
        return Math.min(MOST_WORTH, size) * (inTime ? worth : lateWorth);
    }

    /** Returns the silence after which a caller leaves, in milliseconds. */
    double patienceMillis() {
        return Math.max(2_000, Math.max(4 * firstAimMillis, 8 * gapAimMillis));
    }
}
