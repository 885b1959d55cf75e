package org.endivehold.stream;

import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.error.RunOutcome;

/**
 * Decides how a generation request proceeds after a failed attempt.
 *
 * @param action the next action
 * @param run run outcome to report to the caller if the request ends here
 */
public record RetryDecision(Action action, RunOutcome run) {
    /** The next action after a failed attempt. */
    public enum Action {
        /** Reconnect to the same stream on the same engine, from the first token that has not arrived. */
        RESUME,
        /** Send the request to another engine from the beginning. */
        RETRY,
        /** Let another engine continue after the text that was delivered. */
        CONTINUE,
        /** End the request with the failure. */
        GIVE_UP
    }

    /**
     * A failed attempt.
     *
     * @param failure the failure
     * @param accepted whether the engine had accepted the stream, which can then be resumed
     * @param deliveredTokens number of tokens delivered to the caller, over all attempts
     * @param idempotent whether the request may run more than once
     * @param resumes number of times that resuming this stream was already tried
     */
    public record FailedAttempt(
            EndiveholdException failure, boolean accepted, long deliveredTokens, boolean idempotent, int resumes) {}

    /** Number of times that resuming one stream is tried. */
    public static final int MAX_RESUMES = 2;

    /**
     * Decides what follows a failed attempt. Retry budgets and deadlines are checked by the caller.
     *
     * @param failed the failed attempt
     * @return the decision
     */
    public static RetryDecision of(FailedAttempt failed) {
        RunOutcome run = runOutcome(failed);
        if (!isUpstreamFailure(failed.failure().type())) {
            return new RetryDecision(Action.GIVE_UP, run);
        }
        if (isResumable(failed)) {
            return new RetryDecision(Action.RESUME, run);
        }
        if (run != RunOutcome.NO && !failed.idempotent()) {
            return new RetryDecision(Action.GIVE_UP, run);
        }
        return new RetryDecision(failed.deliveredTokens() > 0 ? Action.CONTINUE : Action.RETRY, run);
    }

    private static RunOutcome runOutcome(FailedAttempt failed) {
        if (failed.deliveredTokens() > 0) {
            return RunOutcome.PARTIAL;
        }
        return failed.accepted() ? RunOutcome.UNKNOWN : failed.failure().run();
    }

    private static boolean isUpstreamFailure(ErrorType type) {
        return switch (type) {
            case UPSTREAM_REFUSED,
                    UPSTREAM_UNREACHABLE,
                    UPSTREAM_BROKEN,
                    UPSTREAM_PROTOCOL,
                    UPSTREAM_TIMEOUT,
                    STREAM_UNKNOWN,
                    NO_UPSTREAM -> true;
            default -> false;
        };
    }

    private static boolean isResumable(FailedAttempt failed) {
        ErrorType type = failed.failure().type();
        boolean mayStillRun = type == ErrorType.UPSTREAM_BROKEN
                || type == ErrorType.UPSTREAM_TIMEOUT
                || type == ErrorType.UPSTREAM_UNREACHABLE;
        return failed.accepted() && mayStillRun && failed.resumes() < MAX_RESUMES;
    }
}
