package org.endivehold.ledger;

import java.util.Optional;

/** What a {@link LedgerProcedure} wants done next, or how it ended. */
public sealed interface LedgerStep {
    /**
     * Write the entry by compare-and-swap.
     *
     * @param delayMillis time to wait first, in milliseconds
     * @param expected revision that the key must have
     * @param entry the new entry
     */
    record Swap(long delayMillis, long expected, LedgerEntry entry) implements LedgerStep {}

    /**
     * Read the key.
     *
     * @param delayMillis time to wait first, in milliseconds
     */
    record Read(long delayMillis) implements LedgerStep {}

    /**
     * Delete the key.
     *
     * @param delayMillis time to wait first, in milliseconds
     * @param expected revision that the key must have
     */
    record Delete(long delayMillis, long expected) implements LedgerStep {}

    /**
     * The end of a claim: the key is held, and the call may be sent.
     *
     * @param revision revision of the claim's entry
     */
    record Held(long revision) implements LedgerStep {}

    /**
     * The end of a claim: another call has the key.
     *
     * @param entry its entry; empty if it is malformed
     */
    record Taken(Optional<LedgerEntry> entry) implements LedgerStep {}

    /**
     * The end of a claim: the key could not be claimed, and the call must not be sent.
     *
     * @param mayLand whether a write of the claim may have taken effect, or still may
     */
    record Unavailable(boolean mayLand) implements LedgerStep {}

    /**
     * The end of a record or a release.
     *
     * @param done whether the change is known to stand
     */
    record Settled(boolean done) implements LedgerStep {}
}
