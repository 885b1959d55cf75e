package org.endivehold.relay.serve;

import java.util.Optional;

/**
 * What the head of an upstream's answer says.
 *
 * @param status HTTP status
 * @param attempt id of the request that it answers
 * @param notRun whether the upstream states that it did not run the request
 * @param sealed whether it carries the upstream's signature
 * @param encoded whether its body is not the upstream's own bytes
 * @param load requests that run and wait at the upstream
 * @param faultAddress address of another upstream that is at fault for the refusal
 */
public record AnswerFacts(
        int status,
        Optional<String> attempt,
        boolean notRun,
        boolean sealed,
        boolean encoded,
        Optional<UpstreamLoad> load,
        Optional<String> faultAddress) {
    /** First status that is no success. */
    private static final int NO_SUCCESS = 300;
    /** Status of an upstream that has another id than the one that was named. */
    private static final int MISDIRECTED = 421;
    /** First status that tells of a failure of the upstream. */
    private static final int SERVER_FAILURE = 500;

    /**
     * Load that an upstream tells of itself.
     *
     * @param running requests that run
     * @param waiting requests that wait
     * @param slots requests that it runs at once
     */
    public record UpstreamLoad(int running, int waiting, int slots) {}

    /** Tells whether the request was refused without having run. */
    public boolean refused() {
        return notRun || status == MISDIRECTED;
    }

    /** Tells whether the request succeeded. */
    public boolean success() {
        return status >= 200 && status < NO_SUCCESS;
    }

    /** Tells whether the request ran and the upstream failed. */
    public boolean failure() {
        return !refused() && status >= SERVER_FAILURE;
    }

    /** Tells whether the answer may be passed on as it is to the caller with this attempt. */
    public boolean genuine(String callersAttempt) {
        return sealed && !encoded && attempt.isPresent() && attempt.get().equals(callersAttempt);
    }

    /** Tells whether the answer belongs to another request. */
    public boolean foreign(String callersAttempt) {
        return attempt.isPresent() && !attempt.get().equals(callersAttempt);
    }
}
