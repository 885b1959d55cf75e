package org.endivehold.ledger;

import java.util.Optional;
import java.util.OptionalLong;
import org.endivehold.error.ErrorType;
import org.endivehold.platform.StoreEntry;
import org.endivehold.platform.SwapResult;

/**
 * Claims an idempotency key for one call.
 *
 * <p>The key is written only if it does not exist, so at most one of all claims of a key succeeds. If the answer to the
 * write is lost, the key is read back. If the entry has the identifier of this claim, the write took effect; if it has
 * another identifier, the write did not take effect and no longer can. If the key does not exist, the write may still
 * take effect later, so the same claim is written again. Whichever of the two writes is applied second finds that the
 * key exists and changes nothing.
 *
 * <p>Example: the answer to the first write is lost, the read shows the claim's own identifier at revision 17, and the
 * procedure ends with {@code Held(17)}. If all answers are lost, it ends with {@code Unavailable(true)}. The call is
 * then refused as not run, which is correct because no call is sent without {@code Held}, and a
 * {@link ReleaseProcedure} removes the entry if it appears.
 */
public final class ClaimProcedure implements LedgerProcedure {
    private static final int RETRIES = 4;
    private static final long FIRST_DELAY_MILLIS = 20;
    private static final long MAX_DELAY_MILLIS = 500;
    private static final long ABSENT_REVISION = 0;

    private final LedgerEntry entry;
    private final RetrySchedule schedule;
    private boolean claimMayAppear;

    /**
     * Creates a procedure.
     *
     * @param entry the entry to write, in state {@code CLAIMED}, with a claim identifier not used before
     * @param giveUpAt monotonic time in milliseconds after which no retry starts
     */
    public ClaimProcedure(LedgerEntry entry, long giveUpAt) {
        this.entry = entry;
        this.schedule = new RetrySchedule(RETRIES, FIRST_DELAY_MILLIS, MAX_DELAY_MILLIS, giveUpAt);
    }

    @Override
    public LedgerStep start() {
        return new LedgerStep.Swap(0, ABSENT_REVISION, entry);
    }

    @Override
    public LedgerStep onSwap(SwapResult result, long now) {
        if (result.swapped() && result.current().isPresent()) {
            return new LedgerStep.Held(result.current().get().revision());
        }
        claimMayAppear |= result.swapped();
        return onRead(result.current(), now);
    }

    @Override
    public LedgerStep onRead(Optional<StoreEntry> found, long now) {
        if (found.isEmpty()) {
            return retry(now, true);
        }
        Optional<LedgerEntry> stored = LedgerCodec.decode(found.get());
        boolean own = stored.isPresent() && stored.get().claim().equals(entry.claim());
        return own ? new LedgerStep.Held(found.get().revision()) : new LedgerStep.Taken(stored);
    }

    @Override
    public LedgerStep onDelete(boolean deleted, long now) {
        throw new IllegalStateException("a claim deletes nothing");
    }

    @Override
    public LedgerStep onFailure(ErrorType type, long now) {
        claimMayAppear |= type == ErrorType.STORE_UNKNOWN;
        return retry(now, !claimMayAppear);
    }

    private LedgerStep retry(long now, boolean write) {
        OptionalLong delay = schedule.next(now);
        if (delay.isEmpty()) {
            return new LedgerStep.Unavailable(claimMayAppear);
        }
        return write
                ? new LedgerStep.Swap(delay.getAsLong(), ABSENT_REVISION, entry)
                : new LedgerStep.Read(delay.getAsLong());
    }
}
