package org.endivehold.stream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.error.RunOutcome;
import org.endivehold.stream.RetryDecision.Action;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RetryDecisionTest {
    @ParameterizedTest
    @CsvSource({
        // failure, run, accepted, delivered, idempotent, resumes -> action, run reported to the caller
        "UPSTREAM_REFUSED, NO, false, 0, false, 0, RETRY, NO",
        "UPSTREAM_UNREACHABLE, NO, false, 0, false, 0, RETRY, NO",
        "UPSTREAM_BROKEN, UNKNOWN, false, 0, true, 0, RETRY, UNKNOWN",
        "UPSTREAM_BROKEN, UNKNOWN, false, 0, false, 0, GIVE_UP, UNKNOWN",
        "UPSTREAM_TIMEOUT, UNKNOWN, false, 0, false, 0, GIVE_UP, UNKNOWN",
        "UPSTREAM_BROKEN, UNKNOWN, true, 0, false, 0, RESUME, UNKNOWN",
        "UPSTREAM_BROKEN, PARTIAL, true, 7, true, 0, RESUME, PARTIAL",
        "UPSTREAM_BROKEN, PARTIAL, true, 7, true, 2, CONTINUE, PARTIAL",
        "UPSTREAM_BROKEN, PARTIAL, true, 7, false, 2, GIVE_UP, PARTIAL",
        "UPSTREAM_UNREACHABLE, NO, true, 7, true, 1, RESUME, PARTIAL",
        "UPSTREAM_UNREACHABLE, NO, true, 0, false, 2, GIVE_UP, UNKNOWN",
        "STREAM_UNKNOWN, NO, true, 7, true, 1, CONTINUE, PARTIAL",
        "STREAM_UNKNOWN, NO, true, 0, true, 1, RETRY, UNKNOWN",
        "UPSTREAM_PROTOCOL, PARTIAL, true, 7, true, 0, CONTINUE, PARTIAL",
        "PROMPT_TOO_LONG, NO, false, 0, true, 0, GIVE_UP, NO",
    })
    void decides(
            ErrorType type,
            RunOutcome run,
            boolean accepted,
            long delivered,
            boolean idempotent,
            int resumes,
            Action action,
            RunOutcome reportedRun) {
        EndiveholdException failure = new EndiveholdException(run, type, "e", "x");
        RetryDecision decision =
                RetryDecision.of(new RetryDecision.FailedAttempt(failure, accepted, delivered, idempotent, resumes));
        assertEquals(new RetryDecision(action, reportedRun), decision);
    }

    @Test
    void theBudgetLimitsRetriesToAFractionOfFirstAttempts() {
        RetryBudget budget = new RetryBudget(0.25);
        for (int i = 0; i < RetryBudget.MAX_BALANCE; i++) {
            assertTrue(budget.tryRetry());
        }
        assertFalse(budget.tryRetry());
        for (int i = 0; i < 4; i++) {
            budget.firstAttempt();
        }
        assertTrue(budget.tryRetry());
        assertFalse(budget.tryRetry());
    }
}
