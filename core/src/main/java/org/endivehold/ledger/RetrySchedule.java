package org.endivehold.ledger;

import java.util.OptionalLong;

/** Exponential back-off of one procedure: delays double up to a maximum, for a limited number of retries. */
final class RetrySchedule {
    private final long maxDelayMillis;
    private final long giveUpAt;
    private int retriesLeft;
    private long delayMillis;

    /**
     * Creates a schedule.
     *
     * @param retries largest number of retries
     * @param firstDelayMillis delay before the first retry, in milliseconds
     * @param maxDelayMillis longest delay, in milliseconds
     * @param giveUpAt monotonic time in milliseconds after which no retry starts
     */
    RetrySchedule(int retries, long firstDelayMillis, long maxDelayMillis, long giveUpAt) {
        this.retriesLeft = retries;
        this.delayMillis = firstDelayMillis;
        this.maxDelayMillis = maxDelayMillis;
        this.giveUpAt = giveUpAt;
    }

    /**
     * Uses up one retry.
     *
     * @param now monotonic time in milliseconds
     * @return the delay before it in milliseconds, or empty if no retry is left or it would start too late
     */
    OptionalLong next(long now) {
        if (retriesLeft == 0 || now + delayMillis > giveUpAt) {
            return OptionalLong.empty();
        }
        retriesLeft--;
        long delay = delayMillis;
        delayMillis = Math.min(2 * delayMillis, maxDelayMillis);
        return OptionalLong.of(delay);
    }
}
