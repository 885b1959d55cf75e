package org.endivehold.ledger;

import java.util.Optional;

/** The next operation that a {@link LedgerProcedure} asks for, or its final result. */
public sealed interface LedgerStep {
    /**
     * Operation: write the entry by compare-and-swap.
     *
     * @param delayMillis time to wait before the operation, in milliseconds
     * @param expected revision that the key must have; 0 if it must not exist
     * @param entry the new entry
     */
    record Swap(long delayMillis, long expected, LedgerEntry entry) implements LedgerStep {}

    /**
     * Operation: read the key.
     *
     * @param delayMillis time to wait before the operation, in milliseconds
     */
    record Read(long delayMillis) implements LedgerStep {}

    /**
     * Operation: delete the key by compare-and-swap.
     *
     * @param delayMillis time to wait before the operation, in milliseconds
     * @param expected revision that the key must have
     */
    record Delete(long delayMillis, long expected) implements LedgerStep {}

    /**
     * Final result of a claim: the key is claimed, and the call may be sent.
     *
     * @param revision revision of the claim's entry
     */
    record Held(long revision) implements LedgerStep {}

    /**
     * Final result of a claim: another call has claimed the key.
     *
     * @param entry entry of that call; empty if it is malformed
     */
    record Taken(Optional<LedgerEntry> entry) implements LedgerStep {}

    /**
     * Final result of a claim: the key could not be claimed, and the call must not be sent.
     *
     * @param claimMayAppear whether a write of the claim may have taken effect, or may do so later
     */
    record Unavailable(boolean claimMayAppear) implements LedgerStep {}

    /**
     * Final result of a record or release procedure.
     *
     * @param done true if the change took effect or is no longer needed; false if that is not known, or not possible
     */
    record Settled(boolean done) implements LedgerStep {}
}
