package org.endivehold.ledger;

import java.util.Optional;
import java.util.OptionalLong;
import org.endivehold.error.ErrorType;
import org.endivehold.platform.StoreEntry;
import org.endivehold.platform.SwapResult;

/**
 * Removes a claim whose call was never sent and never will be, so that the caller can use the key again.
 *
 * <p>Only the claim's own entry in state {@code CLAIMED} is deleted. A claim whose write was lost may appear later, so
 * a missing key is looked at again until the attempts are spent. A claim that appears after that stays until it
 * expires, and callers are told that its outcome is unknown.
 */
public final class ReleaseProcedure implements LedgerProcedure {
    private static final int RETRIES = 6;
    private static final long FIRST_DELAY_MILLIS = 250;
    private static final long MAX_DELAY_MILLIS = 5_000;

    private final ClaimId claim;
    private final boolean mayLand;
    private final RetrySchedule schedule;

    /**
     * Creates a procedure.
     *
     * @param claim the claim to remove
     * @param mayLand whether a write of the claim may still take effect
     */
    public ReleaseProcedure(ClaimId claim, boolean mayLand) {
        this.claim = claim;
        this.mayLand = mayLand;
        this.schedule = new RetrySchedule(RETRIES, FIRST_DELAY_MILLIS, MAX_DELAY_MILLIS, Long.MAX_VALUE);
    }

    @Override
    public LedgerStep start() {
        return new LedgerStep.Read(0);
    }

    @Override
    public LedgerStep onSwap(SwapResult result, long now) {
        throw new IllegalStateException("a release writes nothing");
    }

    @Override
    public LedgerStep onRead(Optional<StoreEntry> found, long now) {
        if (found.isEmpty()) {
            return mayLand ? readAgain(now, true) : new LedgerStep.Settled(true);
        }
        Optional<LedgerEntry> stored = LedgerCodec.decode(found.get());
        boolean own = stored.isPresent()
                && stored.get().claim().equals(claim)
                && stored.get().state() == LedgerEntry.State.CLAIMED;
        return own ? new LedgerStep.Delete(0, found.get().revision()) : new LedgerStep.Settled(true);
    }

    @Override
    public LedgerStep onDelete(boolean deleted, long now) {
        return deleted ? new LedgerStep.Settled(true) : readAgain(now, false);
    }

    @Override
    public LedgerStep onFailure(ErrorType type, long now) {
        return readAgain(now, false);
    }

    private LedgerStep readAgain(long now, boolean absent) {
        OptionalLong delay = schedule.next(now);
        return delay.isEmpty() ? new LedgerStep.Settled(absent) : new LedgerStep.Read(delay.getAsLong());
    }
}
