package org.endivehold.ledger;

import java.util.Optional;
import java.util.OptionalLong;
import org.endivehold.error.ErrorType;
import org.endivehold.platform.StoreEntry;
import org.endivehold.platform.SwapResult;

/**
 * Claims a key for one call.
 *
 * <p>The key is written only if it does not exist, so of all claims of a key at most one stands. When the answer to the
 * write is lost, the key is read back: the claim's own identifier in the entry shows that the write took effect,
 * another identifier that it did not and cannot any more. If the key does not exist, the write may still take effect
 * later, so the same claim is written again; whichever of the two writes comes second finds the key written and changes
 * nothing.
 *
 * <p>Example: the first write is lost on its way back, the read shows the claim's own identifier at revision 17, and
 * the procedure ends with {@code Held(17)}. If all attempts are lost, it ends with {@code Unavailable(true)}: the call
 * is refused as not run, which is true, since nothing is sent without {@code Held}, and a {@link ReleaseProcedure}
 * removes the entry should it appear.
 */
public final class ClaimProcedure implements LedgerProcedure {
    private static final int RETRIES = 4;
    private static final long FIRST_DELAY_MILLIS = 20;
    private static final long MAX_DELAY_MILLIS = 500;
    private static final long NO_REVISION = 0;

    private final LedgerEntry entry;
    private final RetrySchedule schedule;
    private boolean mayLand;

    /**
     * Creates a procedure.
     *
     * @param entry the entry to write, in state {@code CLAIMED}, with a claim identifier of its own
     * @param giveUpAt monotonic time in milliseconds after which no retry starts
     */
    public ClaimProcedure(LedgerEntry entry, long giveUpAt) {
        this.entry = entry;
        this.schedule = new RetrySchedule(RETRIES, FIRST_DELAY_MILLIS, MAX_DELAY_MILLIS, giveUpAt);
    }

    @Override
    public LedgerStep start() {
        return new LedgerStep.Swap(0, NO_REVISION, entry);
    }

    @Override
    public LedgerStep onSwap(SwapResult result, long now) {
        if (result.swapped() && result.current().isPresent()) {
            return new LedgerStep.Held(result.current().get().revision());
        }
        mayLand |= result.swapped();
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
        mayLand |= type == ErrorType.STORE_UNKNOWN;
        return retry(now, !mayLand);
    }

    private LedgerStep retry(long now, boolean write) {
        OptionalLong delay = schedule.next(now);
        if (delay.isEmpty()) {
            return new LedgerStep.Unavailable(mayLand);
        }
        return write
                ? new LedgerStep.Swap(delay.getAsLong(), NO_REVISION, entry)
                : new LedgerStep.Read(delay.getAsLong());
    }
}
