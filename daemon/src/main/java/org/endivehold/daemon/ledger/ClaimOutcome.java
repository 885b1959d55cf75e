package org.endivehold.daemon.ledger;

import org.endivehold.ledger.LedgerEntry;
import org.endivehold.platform.LeaseId;
import org.endivehold.upstream.PlainAnswer;

/** The result of a successful attempt to claim a key. */
public sealed interface ClaimOutcome {
    /**
     * The key was claimed, and the call may be sent. The claim must be ended with one of the methods {@code record},
     * {@code recordUnknown} and {@code release} of {@link LedgerService}.
     *
     * @param key the key in the key-value service
     * @param entry the entry of the claim
     * @param revision the revision of the entry in the key-value service
     * @param lease the lease that limits how long the entry is kept
     */
    record Held(String key, LedgerEntry entry, long revision, LeaseId lease) implements ClaimOutcome {}

    /**
     * An earlier call with the same key was executed, and its answer was recorded.
     *
     * @param answer the recorded answer
     */
    record Answered(PlainAnswer answer) implements ClaimOutcome {}
}
