package org.endivehold.admission;

/**
 * Estimates the rate at which a queue is served while requests wait, in cost tokens per millisecond, as an
 * exponentially weighted moving average over time, and predicts from it how long a backlog takes.
 */
final class DrainRate {
    /** Time constant of the average. */
    private static final double TIME_CONSTANT_MILLIS = 2_000;
    /** Shortest interval that makes a sample. */
    private static final long MIN_SAMPLE_MILLIS = 100;

    private double rate;
    private long sampleTokens;
    private long sampleStart = -1;

    /**
     * Records that requests wait; starts a sample if none is open.
     *
     * @param now monotonic time in milliseconds
     */
    void backlogged(long now) {
        if (sampleStart < 0) {
            sampleStart = now;
            sampleTokens = 0;
        }
    }

    /** Records that the queue is empty, and drops the open sample, because idle time would lower the estimate. */
    void idle() {
        sampleStart = -1;
    }

    /**
     * Records that a request left the queue to be served.
     *
     * @param cost its cost in tokens
     * @param now monotonic time in milliseconds
     */
    void served(long cost, long now) {
        sampleTokens += cost;
        long elapsed = now - sampleStart;
        if (sampleStart < 0 || elapsed < MIN_SAMPLE_MILLIS) {
            return;
        }
        double sample = sampleTokens / (double) elapsed;
        double weight = rate == 0 ? 1 : 1 - Math.exp(-elapsed / TIME_CONSTANT_MILLIS);
        rate += weight * (sample - rate);
        sampleStart = now;
        sampleTokens = 0;
    }

    /**
     * Predicts how long it takes to serve a backlog.
     *
     * @param backlog cost of the waiting requests, in tokens
     * @return duration in milliseconds; 0 until a rate is known
     */
    long millisFor(double backlog) {
        return rate <= 0 ? 0 : (long) (backlog / rate);
    }
}
