package org.endivehold.ledger;

import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.error.RunOutcome;
import org.endivehold.misc.HostId;
import org.endivehold.misc.Incarnation;
import org.endivehold.upstream.PlainAnswer;

/**
 * Answers a call whose idempotency key was claimed by another call: with the recorded answer or a typed failure. The
 * call itself never runs.
 *
 * <p>Wall-clock time decides only between {@code LEDGER_IN_PROGRESS} and {@code LEDGER_OUTCOME_UNKNOWN}. Both report
 * the run outcome {@code UNKNOWN}, so skewed clocks can change the error type but not the at-most-once guarantee.
 *
 * @param host host of this daemon
 * @param incarnation process number of this daemon
 */
public record DuplicateCallHandler(HostId host, Incarnation incarnation) {
    /**
     * Answers a call with a key that is in use.
     *
     * @param first entry of the call that claimed the key
     * @param digest digest of the call to answer
     * @param wallMillis present wall-clock time in milliseconds since the epoch
     * @return the recorded answer
     * @throws EndiveholdException of type {@code LEDGER_KEY_REUSED}, {@code LEDGER_IN_PROGRESS},
     *     {@code LEDGER_OUTCOME_UNKNOWN} or {@code LEDGER_ANSWER_NOT_KEPT}
     */
    public PlainAnswer answer(LedgerEntry first, String digest, long wallMillis) throws EndiveholdException {
        if (!first.digest().equals(digest)) {
            throw new EndiveholdException(ErrorType.LEDGER_KEY_REUSED);
        }
        if (first.state() == LedgerEntry.State.DONE) {
            return recorded(first.answer().orElseThrow());
        }
        boolean inProgress = first.state() == LedgerEntry.State.CLAIMED
                && wallMillis <= first.deadlineWallMillis()
                && !claimedByEarlierProcess(first);
        ErrorType type = inProgress ? ErrorType.LEDGER_IN_PROGRESS : ErrorType.LEDGER_OUTCOME_UNKNOWN;
        throw new EndiveholdException(RunOutcome.UNKNOWN, type);
    }

    private static PlainAnswer recorded(RecordedAnswer answer) throws EndiveholdException {
        if (!answer.whole()) {
            throw new EndiveholdException(RunOutcome.PARTIAL, ErrorType.LEDGER_ANSWER_NOT_KEPT, answer.status());
        }
        return answer.answer();
    }

    private boolean claimedByEarlierProcess(LedgerEntry first) {
        return first.host().equals(host) && first.incarnation().compareTo(incarnation) < 0;
    }
}
