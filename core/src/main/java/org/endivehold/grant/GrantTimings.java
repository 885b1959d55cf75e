package org.endivehold.grant;

/**
 * Times of the grant protocol.
 *
 * @param grantMillis time to live of a grant at its holder, in milliseconds
 * @param renewMillis time between renewals in milliseconds
 * @param pauseMillis longest pause after which grants are used without revalidation, in milliseconds
 * @param orderMillis longest time that an order or a request can be under way to an upstream, in milliseconds
 */
public record GrantTimings(long grantMillis, long renewMillis, long pauseMillis, long orderMillis) {
    private static final long DRIFT_DIVISOR = 10;
    private static final int ACTIVE_RENEWALS = 3;

    /**
     * Returns the time after which a grantor counts a grant as expired, from when it sent the grant. Longer than the
     * grant's own time, since clocks of different hosts do not run equally fast.
     *
     * @return milliseconds
     */
    public long expiryMillis() {
        return withDrift(grantMillis);
    }

    /**
     * Lengthens a time that runs on another host's clock.
     *
     * @param millis milliseconds there
     * @return milliseconds here after which that time has certainly passed
     */
    public long withDrift(long millis) {
        return millis + millis / DRIFT_DIVISOR + 1;
    }

    /**
     * Returns the time without renewal after which a holder is left out of the division.
     *
     * @return milliseconds
     */
    public long activeMillis() {
        return ACTIVE_RENEWALS * renewMillis;
    }
}
