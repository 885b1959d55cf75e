package org.endivehold.daemon.peer;

import org.apache.commons.rng.UniformRandomProvider;

/** Delays before repeated attempts: doubling up to a limit, each drawn evenly from the upper half of its range. */
final class Backoff {
    private static final long FIRST_MILLIS = 50;
    private static final long LONGEST_MILLIS = 2_000;

    private final UniformRandomProvider random;
    private long ceiling = FIRST_MILLIS;

    Backoff(UniformRandomProvider random) {
        this.random = random;
    }

    /**
     * Returns the next delay.
     *
     * @return milliseconds, positive
     */
    long nextMillis() {
        long delay = ceiling / 2 + random.nextLong(ceiling / 2) + 1;
        ceiling = Math.min(LONGEST_MILLIS, ceiling * 2);
        return delay;
    }

    /** Starts again from the shortest delay. */
    void reset() {
        ceiling = FIRST_MILLIS;
    }
}
