package org.endivehold.ledger;

import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.error.RunOutcome;
import org.endivehold.misc.HostId;
import org.endivehold.misc.Incarnation;
import org.endivehold.upstream.PlainAnswer;

/**
 * Answers a call whose key another call has: with the recorded answer or a typed failure, never with a second run.
 *
 * <p>Wall clocks decide only between {@code LEDGER_IN_PROGRESS} and {@code LEDGER_OUTCOME_UNKNOWN}; both tell the
 * caller that the run outcome is unknown, so clocks that disagree change a word and no promise.
 *
 * @param host this host
 * @param incarnation this process
 */
public record SecondCall(HostId host, Incarnation incarnation) {
    /**
     * Answers a second call.
     *
     * @param first entry of the call that has the key
     * @param digest digest of the second call
     * @param wallMillis wall time in milliseconds since the epoch
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
        boolean open = first.state() == LedgerEntry.State.CLAIMED
                && wallMillis <= first.deadlineWallMillis()
                && !ownerIsGone(first);
        ErrorType type = open ? ErrorType.LEDGER_IN_PROGRESS : ErrorType.LEDGER_OUTCOME_UNKNOWN;
        throw new EndiveholdException(RunOutcome.UNKNOWN, type);
    }

    private static PlainAnswer recorded(RecordedAnswer answer) throws EndiveholdException {
        if (!answer.whole()) {
            throw new EndiveholdException(RunOutcome.PARTIAL, ErrorType.LEDGER_ANSWER_NOT_KEPT, answer.status());
        }
        return answer.answer();
    }

    private boolean ownerIsGone(LedgerEntry first) {
        return first.host().equals(host) && first.incarnation().compareTo(incarnation) < 0;
    }
}
