package org.endivehold.config;

/**
 * Times of the activation of revisions, in milliseconds.
 *
 * @param pollMillis time between reads of the head while neighbours are heard
 * @param lonePollMillis time between reads of the head while no neighbour is heard
 * @param fetchMillis time after which a fetch counts as failed
 * @param retryMillis time before a source that failed is asked again
 * @param isolationMillis time without the store and without neighbours after which a daemon is isolated
 */
public record ActivationTimes(
        long pollMillis, long lonePollMillis, long fetchMillis, long retryMillis, long isolationMillis) {
    /** Times that bring a change to a daemon within a few seconds of any one source having it. */
    public static final ActivationTimes STANDARD = new ActivationTimes(10_000, 1_000, 1_500, 500, 4_000);
}
