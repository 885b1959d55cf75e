package org.endivehold.ledger;

import java.util.Optional;
import java.util.OptionalLong;
import org.endivehold.error.ErrorType;
import org.endivehold.platform.StoreEntry;
import org.endivehold.platform.SwapResult;

/**
 * Removes a claim whose call was not and will not be sent, so that the caller can use the key again.
 *
 * <p>The entry is deleted only if it belongs to the claim and is in state {@code CLAIMED}. A claim whose write was not
 * answered may appear later, so a missing key is read again until the retries are exhausted. A claim that appears after
 * that stays until it expires, and later calls with its key fail with run outcome {@code UNKNOWN}.
 */
public final class ReleaseProcedure implements LedgerProcedure {
    private static final int RETRIES = 6;
    private static final long FIRST_DELAY_MILLIS = 250;
    private static final long MAX_DELAY_MILLIS = 5_000;

    private final ClaimId claim;
    private final boolean claimMayAppear;
    private final RetrySchedule schedule;

    /**
     * Creates a procedure.
     *
     * @param claim the claim to remove
     * @param claimMayAppear whether a write of the claim may take effect later
     */
    public ReleaseProcedure(ClaimId claim, boolean claimMayAppear) {
        this.claim = claim;
        this.claimMayAppear = claimMayAppear;
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
            return claimMayAppear ? readAgain(now, true) : new LedgerStep.Settled(true);
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

    private LedgerStep readAgain(long now, boolean doneIfExhausted) {
        OptionalLong delay = schedule.next(now);
        return delay.isEmpty() ? new LedgerStep.Settled(doneIfExhausted) : new LedgerStep.Read(delay.getAsLong());
    }
}
