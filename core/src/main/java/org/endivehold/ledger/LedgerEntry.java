package org.endivehold.ledger;

import java.util.Optional;
import org.endivehold.misc.HostId;
import org.endivehold.misc.Incarnation;

/**
 * The record that the key-value service stores for one idempotency key.
 *
 * @param claim the claim that holds the key
 * @param digest SHA-256 over route, method, path and body of the call, in lower-case hexadecimal
 * @param host host of the daemon that wrote the claim
 * @param incarnation process number of that daemon
 * @param deadlineWallMillis wall-clock time in milliseconds since the epoch after which the daemon no longer works on
 *     the call
 * @param state progress of the call
 * @param answer the answer; present if and only if the state is {@code DONE}
 */
public record LedgerEntry(
        ClaimId claim,
        String digest,
        HostId host,
        Incarnation incarnation,
        long deadlineWallMillis,
        State state,
        Optional<RecordedAnswer> answer) {
    /** Progress of a call. */
    public enum State {
        /** The key is claimed, and the call may have been sent. */
        CLAIMED,
        /** The call ran, and its answer is recorded. */
        DONE,
        /** The call was sent and no answer arrived, so it may or may not have run. */
        UNKNOWN
    }

    /**
     * Returns a copy of this entry for a call that was answered.
     *
     * @param recorded the answer
     * @return an entry in state {@code DONE}
     */
    public LedgerEntry done(RecordedAnswer recorded) {
        return withState(State.DONE, Optional.of(recorded));
    }

    /**
     * Returns a copy of this entry for a call that was sent and not answered.
     *
     * @return an entry in state {@code UNKNOWN}
     */
    public LedgerEntry unknown() {
        return withState(State.UNKNOWN, Optional.empty());
    }

    private LedgerEntry withState(State newState, Optional<RecordedAnswer> recorded) {
        return new LedgerEntry(claim, digest, host, incarnation, deadlineWallMillis, newState, recorded);
    }
}
