package org.endivehold.relay.state;

import org.apache.commons.rng.UniformRandomProvider;
import org.endivehold.misc.Ticker;

/**
 * The failed calls of one copy to the store: whether there is an outage, and the delay until the next call.
 *
 * <p>The delay grows with each failure. While a coordinator reports the store as unavailable, it is longer: the
 * coordinators find earlier that the store is back.
 */
final class StoreOutage {
    /** Mean delay after the first failed call, in milliseconds; it doubles with each failure. */
    private static final int MIN_BACKOFF_MILLIS = 100;
    /** Largest mean delay after failed calls, in milliseconds; not smaller because failed calls are charged, too. */
    private static final int MAX_BACKOFF_MILLIS = 800;
    /**
     * Mean delay after a failed call while a coordinator reports the store as unavailable, in milliseconds. The longest
     * delay, half as long again, is within the time in which a configuration has to be in force, in case the store
     * serves this daemon alone.
     */
    private static final int REPORTED_BACKOFF_MILLIS = 1_000;
    /** Longest time after a failed call for which the failures of another copy delay the next one, in milliseconds. */
    private static final int HELD_BACK_MILLIS = 2_500;
    /** Validity of a coordinator's report that the store is unavailable, in milliseconds: two pings and a margin. */
    private static final int REPORT_MILLIS = 1_600;

    private final Ticker ticker;
    private final UniformRandomProvider random;
    private int failures;
    private double startedAt;
    private double endedAt = Double.NEGATIVE_INFINITY;
    private double failedAt = Double.NEGATIVE_INFINITY;
    private double reportedUntil = Double.NEGATIVE_INFINITY;

    StoreOutage(Ticker ticker, UniformRandomProvider random) {
        this.ticker = ticker;
        this.random = random;
    }

    /** Returns the number of calls that have failed since the last answer. */
    int failures() {
        return failures;
    }

    /** Records a failed call and returns the delay until the next one, in milliseconds. */
    int failed() {
        failedAt = ticker.millis();
        if (failures == 0) {
            startedAt = failedAt;
        }
        int backoff = failedAt < reportedUntil
                ? REPORTED_BACKOFF_MILLIS
                : Math.min(MAX_BACKOFF_MILLIS, MIN_BACKOFF_MILLIS << Math.min(failures, 10));
        failures++;
        return backoff / 2 + random.nextInt(backoff);
    }

    /** Ends the outage, if there is one. */
    void answered() {
        if (failures > 0) {
            endedAt = ticker.millis();
        }
        failures = 0;
    }

    /** Records that an outage ended at a time, which another daemon noticed or a restore shows. */
    void endedAtLeast(double millis) {
        endedAt = Math.max(endedAt, millis);
    }

    /** Handles the report of a coordinator that the store does not answer it. */
    void reported() {
        reportedUntil = ticker.millis() + REPORT_MILLIS;
    }

    /** Returns the duration of the outage, in milliseconds; 0 if there is none. */
    double millis() {
        return failures == 0 ? 0 : ticker.millis() - startedAt;
    }

    /** Returns the time since the end of the last outage, in milliseconds; infinite if there was none. */
    double sinceEndMillis() {
        return ticker.millis() - endedAt;
    }

    /** Returns whether the next call may wait until another copy's calls succeed again. */
    boolean mayWaitForOther() {
        return failures > 0 && ticker.millis() - failedAt < HELD_BACK_MILLIS;
    }
}
