package org.endivehold.admission;

/**
 * Learns how fast a queue drains while it is backlogged, in tokens of cost per millisecond, as an exponentially
 * weighted mean over time. From it follows how long a backlog will take.
 */
final class DrainRate {
    private static final double WINDOW_MILLIS = 2_000;
    private static final long LEAST_MILLIS = 100;

    private double rate;
    private long tokens;
    private long since = -1;

    /**
     * The queue began to be backlogged, or is so still.
     *
     * @param now monotonic time in milliseconds
     */
    void backlogged(long now) {
        if (since < 0) {
            since = now;
            tokens = 0;
        }
    }

    /** The queue is empty. */
    void idle() {
        since = -1;
    }

    /**
     * A request left the queue to be served.
     *
     * @param cost its cost in tokens
     * @param now monotonic time in milliseconds
     */
    void served(long cost, long now) {
        tokens += cost;
        long span = now - since;
        if (since < 0 || span < LEAST_MILLIS) {
            return;
        }
        double sample = tokens / (double) span;
        double weight = rate == 0 ? 1 : 1 - Math.exp(-span / WINDOW_MILLIS);
        rate += weight * (sample - rate);
        since = now;
        tokens = 0;
    }

    /**
     * Predicts how long a backlog takes.
     *
     * @param backlog cost in tokens
     * @return time in milliseconds, 0 if no rate is known
     */
    long millisFor(double backlog) {
        return rate <= 0 ? 0 : (long) (backlog / rate);
    }
}
