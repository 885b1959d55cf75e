package org.endivehold.config;

/**
 * Intervals and time-outs of {@link ActivationState}, in milliseconds.
 *
 * @param pollMillis interval between polls of the head while messages from neighbours arrive
 * @param pollWithoutNeighboursMillis interval between polls of the head while no messages from neighbours arrive
 * @param fetchMillis time-out of a fetch
 * @param retryMillis delay before a source that failed is asked again
 * @param isolationMillis time without contact with the store or any neighbour after which a daemon counts as isolated
 */
public record ActivationTimes(
        long pollMillis, long pollWithoutNeighboursMillis, long fetchMillis, long retryMillis, long isolationMillis) {
    /** Lets a change reach a daemon within a few seconds after any one of its sources has it. */
    public static final ActivationTimes STANDARD = new ActivationTimes(10_000, 1_000, 1_500, 500, 4_000);
}
