package org.endivehold.relay.serve;

import java.util.Optional;
import java.util.OptionalDouble;

/**
 * Status and headers of an upstream's response that the serving path evaluates.
 *
 * @param status HTTP status
 * @param attemptId attempt id of the request that this response belongs to; empty if the upstream sent none
 * @param notRun whether the upstream states that it did not run the request
 * @param sealed whether the response carries the upstream's seal, a signature header
 * @param encoded whether a content encoding was applied, so that the body is not what the upstream sealed
 * @param load load that the upstream reports about itself, if any
 * @param faultAddress address (host:port) of another upstream that caused the refusal, if any
 * @param announcements what the upstream says about the requests that it wants
 */
public record AnswerFacts(
        int status,
        Optional<String> attemptId,
        boolean notRun,
        boolean sealed,
        boolean encoded,
        Optional<UpstreamLoad> load,
        Optional<String> faultAddress,
        Announcements announcements) {
    /** Lowest status above the successes (2xx). */
    private static final int FIRST_NON_SUCCESS_STATUS = 300;
    /** Misdirected Request: the upstream at this address has an id other than the requested one. */
    private static final int MISDIRECTED_STATUS = 421;
    /** Lowest status of the server errors (5xx). */
    private static final int FIRST_SERVER_ERROR_STATUS = 500;

    /**
     * Load that an upstream reports about itself.
     *
     * @param running requests that it runs now
     * @param waiting requests in its queue
     * @param slots requests that it can run at the same time
     */
    public record UpstreamLoad(int running, int waiting, int slots) {}

    /**
     * What an upstream says about the requests that it wants, in any answer.
     *
     * @param leaving whether it is shutting down
     * @param retryAfterMillis time for which an upstream that refused wants no request from this daemon, in
     *     milliseconds
     * @param requestsPerSecond requests a second that it takes from all daemons together; empty if it names no limit
     */
    public record Announcements(boolean leaving, OptionalDouble retryAfterMillis, OptionalDouble requestsPerSecond) {}

    /** Returns whether the upstream refused the request without running it, so that it may be sent elsewhere. */
    public boolean refused() {
        return notRun || status == MISDIRECTED_STATUS;
    }

    /** Returns whether the status is a success (2xx). */
    public boolean success() {
        return status >= 200 && status < FIRST_NON_SUCCESS_STATUS;
    }

    /** Returns whether the request ran and ended with a server error (5xx). */
    public boolean failure() {
        return !refused() && status >= FIRST_SERVER_ERROR_STATUS;
    }

    /**
     * Returns whether the response is sealed, unaltered and for this attempt id, so that it may be forwarded as it is.
     */
    public boolean isTrusted(String callerAttemptId) {
        return sealed && !encoded && attemptId.isPresent() && attemptId.get().equals(callerAttemptId);
    }

    /** Returns whether the response names an attempt id other than the caller's. */
    public boolean belongsToOtherAttempt(String callerAttemptId) {
        return attemptId.isPresent() && !attemptId.get().equals(callerAttemptId);
    }
}
