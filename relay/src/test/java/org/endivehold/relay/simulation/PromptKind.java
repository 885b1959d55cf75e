package org.endivehold.relay.simulation;

import java.util.Random;

/**
 * A kind of prompt with common arrival rate, targets and lengths.
 *
 * @param name name of the kind
 * @param perSecond arrivals a second
 * @param firstEventTargetMillis target for the time to the first event
 * @param gapTargetMillis target for the gap between events
 * @param deadlineMillis time after which a caller gives up, counted from the request's first arrival
 * @param inTimeCredit credit for a prompt of mean length that is served in time
 * @param lateCredit credit for a prompt of mean length that is served late
 * @param tokens lengths of the prompts
 * @param events events of an answer
 */
record PromptKind(
        String name,
        double perSecond,
        double firstEventTargetMillis,
        double gapTargetMillis,
        double deadlineMillis,
        double inTimeCredit,
        double lateCredit,
        Length tokens,
        Length events) {
    /** Share of the credit that does not depend on the length. */
    private static final double FIXED_CREDIT_SHARE = 0.3;
    /** Maximum credit for one request, relative to the credit of its kind. */
    private static final double MAX_CREDIT_FACTOR = 4;

    /**
     * A log-normally distributed length.
     *
     * @param mean mean of the distribution before the limit
     * @param spread standard deviation of the logarithm
     * @param max largest value; larger ones are reduced to it
     */
    record Length(double mean, double spread, double max) {
        double draw(Random random) {
            double log = Math.log(mean) - spread * spread / 2 + spread * random.nextGaussian();
            return Math.max(1, Math.min(max, Math.exp(log)));
        }
    }

    double credit(double length, boolean inTime) {
        double size = FIXED_CREDIT_SHARE + (1 - FIXED_CREDIT_SHARE) * length / tokens.mean();
        return Math.min(MAX_CREDIT_FACTOR, size) * (inTime ? inTimeCredit : lateCredit);
    }

    /** Returns the silence after which a caller disconnects, in milliseconds. */
    double maxSilenceMillis() {
        return Math.max(2_000, Math.max(4 * firstEventTargetMillis, 8 * gapTargetMillis));
    }
}
