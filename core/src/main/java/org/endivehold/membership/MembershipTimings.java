package org.endivehold.membership;

/**
 * Times of failure detection.
 *
 * @param periodMillis time between probes in milliseconds
 * @param ackTimeoutMillis time for an answer to a direct probe in milliseconds
 * @param indirectProbes daemons asked to probe on behalf of this one
 * @param suspicionPeriods periods that a suspected daemon has to refute
 */
public record MembershipTimings(long periodMillis, long ackTimeoutMillis, int indirectProbes, int suspicionPeriods) {
    /** Time after which a dead daemon is forgotten, in milliseconds. */
    public static final long REMEMBER_DEAD_MILLIS = 120_000;

    /**
     * Returns how often the protocol wants to be told the time.
     *
     * @return milliseconds, positive
     */
    public long tickMillis() {
        return Math.max(1, ackTimeoutMillis / 2);
    }

    /**
     * Returns the gap between two ticks from which on this process counts as having paused.
     *
     * @return milliseconds
     */
    public long pauseMillis() {
        return tickMillis() + periodMillis / 2;
    }
}
