package org.endivehold.stream;

import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.error.RunOutcome;

/**
 * What follows a failed attempt.
 *
 * @param action what to do
 * @param run what to tell the caller about the run if the request ends here
 */
public record RetryDecision(Action action, RunOutcome run) {
    /** What to do. */
    public enum Action {
        /** Read the same stream on the same engine again, from the end of what arrived. */
        RESUME,
        /** Start again elsewhere from the beginning. */
        RETRY,
        /** Go on elsewhere after the text that was delivered. */
        CONTINUE,
        /** End the request. */
        GIVE_UP
    }

    /**
     * A failed attempt.
     *
     * @param failure the failure
     * @param accepted whether the engine had accepted the stream, so that it can be resumed
     * @param deliveredTokens tokens that the caller has, from all attempts
     * @param idempotent whether the request may run more than once
     * @param resumes resumptions of this stream already tried
     */
    public record Failed(
            EndiveholdException failure, boolean accepted, long deliveredTokens, boolean idempotent, int resumes) {}

    /** Resumptions of one stream before it is given up. */
    public static final int MAX_RESUMES = 2;

    /**
     * Decides, without regard to budgets and deadlines.
     *
     * @param failed the failed attempt
     * @return the decision
     */
    public static RetryDecision of(Failed failed) {
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

    private static RunOutcome runOutcome(Failed failed) {
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

    private static boolean isResumable(Failed failed) {
        ErrorType type = failed.failure().type();
        boolean mayStillRun = type == ErrorType.UPSTREAM_BROKEN
                || type == ErrorType.UPSTREAM_TIMEOUT
                || type == ErrorType.UPSTREAM_UNREACHABLE;
        return failed.accepted() && mayStillRun && failed.resumes() < MAX_RESUMES;
    }
}
