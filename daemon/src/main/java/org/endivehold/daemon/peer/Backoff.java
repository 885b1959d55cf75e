package org.endivehold.daemon.peer;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Exponential backoff with jitter: the upper bound doubles up to a limit, and each delay is drawn uniformly from the
 * upper half of the range.
 */
final class Backoff {
    private static final long INITIAL_DELAY_MILLIS = 50;
    private static final long MAX_DELAY_MILLIS = 2_000;

    private final UniformRandomProvider random;
    private long upperBoundMillis = INITIAL_DELAY_MILLIS;

    Backoff(UniformRandomProvider random) {
        this.random = random;
    }

    /**
     * Returns the next delay.
     *
     * @return milliseconds, positive
     */
    long nextMillis() {
        long delay = upperBoundMillis / 2 + random.nextLong(upperBoundMillis / 2) + 1;
        upperBoundMillis = Math.min(MAX_DELAY_MILLIS, upperBoundMillis * 2);
        return delay;
    }

    /** Resets the upper bound to the initial delay. */
    void reset() {
        upperBoundMillis = INITIAL_DELAY_MILLIS;
    }
}
