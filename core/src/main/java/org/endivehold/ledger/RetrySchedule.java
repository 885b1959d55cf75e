package org.endivehold.ledger;

import java.util.OptionalLong;

/** Delays between the attempts of one procedure: they double up to a bound, and end after a number of attempts. */
final class RetrySchedule {
    private final long maxDelayMillis;
    private final long giveUpAt;
    private int left;
    private long delayMillis;

    /**
     * Creates a schedule.
     *
     * @param retries number of retries
     * @param firstDelayMillis delay before the first retry, in milliseconds
     * @param maxDelayMillis longest delay, in milliseconds
     * @param giveUpAt monotonic time in milliseconds after which no retry starts
     */
    RetrySchedule(int retries, long firstDelayMillis, long maxDelayMillis, long giveUpAt) {
        this.left = retries;
        this.delayMillis = firstDelayMillis;
        this.maxDelayMillis = maxDelayMillis;
        this.giveUpAt = giveUpAt;
    }

    /**
     * Takes the next retry.
     *
     * @param now monotonic time in milliseconds
     * @return the delay before it in milliseconds, or empty if there is none
     */
    OptionalLong next(long now) {
        if (left == 0 || now + delayMillis > giveUpAt) {
            return OptionalLong.empty();
        }
        left--;
        long delay = delayMillis;
        delayMillis = Math.min(2 * delayMillis, maxDelayMillis);
        return OptionalLong.of(delay);
    }
}
