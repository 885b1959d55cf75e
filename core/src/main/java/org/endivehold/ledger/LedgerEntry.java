package org.endivehold.ledger;

import java.util.Optional;
import org.endivehold.misc.HostId;
import org.endivehold.misc.Incarnation;

/**
 * What the key-value service keeps for one idempotency key.
 *
 * @param claim the claim that holds the key
 * @param digest SHA-256 over route, method, path and body of the call, in lower-case hexadecimal
 * @param host host of the daemon that made the claim
 * @param incarnation that daemon's process
 * @param deadlineWallMillis wall time in milliseconds since the epoch after which the daemon no longer works on the
 *     call
 * @param state how far the call got
 * @param answer the answer, if the call is done
 */
public record LedgerEntry(
        ClaimId claim,
        String digest,
        HostId host,
        Incarnation incarnation,
        long deadlineWallMillis,
        State state,
        Optional<RecordedAnswer> answer) {
    /** How far a call got. */
    public enum State {
        /** Claimed; it may have been sent. */
        CLAIMED,
        /** It ran, and its answer is recorded. */
        DONE,
        /** It was sent and no answer came. */
        UNKNOWN
    }

    /**
     * Returns this entry with an answer.
     *
     * @param recorded the answer
     * @return an entry in state {@code DONE}
     */
    public LedgerEntry done(RecordedAnswer recorded) {
        return ended(State.DONE, Optional.of(recorded));
    }

    /**
     * Returns this entry for a call that was sent and never answered.
     *
     * @return an entry in state {@code UNKNOWN}
     */
    public LedgerEntry unknown() {
        return ended(State.UNKNOWN, Optional.empty());
    }

    private LedgerEntry ended(State end, Optional<RecordedAnswer> recorded) {
        return new LedgerEntry(claim, digest, host, incarnation, deadlineWallMillis, end, recorded);
    }
}
