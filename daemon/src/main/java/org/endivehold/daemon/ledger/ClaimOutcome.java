package org.endivehold.daemon.ledger;

import org.endivehold.ledger.LedgerEntry;
import org.endivehold.platform.LeaseId;
import org.endivehold.upstream.PlainAnswer;

/** What came of claiming a key. */
public sealed interface ClaimOutcome {
    /**
     * The key is held, and the call may be sent. Has to end with one of the ledger's {@code record},
     * {@code recordUnknown} and {@code release}.
     *
     * @param key key in the key-value service
     * @param entry the claim's entry
     * @param revision its revision
     * @param lease the lease that bounds how long the entry is kept
     */
    record Held(String key, LedgerEntry entry, long revision, LeaseId lease) implements ClaimOutcome {}

    /**
     * An earlier call with the key has run.
     *
     * @param answer its recorded answer
     */
    record Answered(PlainAnswer answer) implements ClaimOutcome {}
}
