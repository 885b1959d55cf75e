package org.endivehold.ledger;

import java.util.Optional;
import java.util.OptionalLong;
import org.endivehold.error.ErrorType;
import org.endivehold.platform.StoreEntry;
import org.endivehold.platform.SwapResult;

/**
 * Records the outcome of a call in the entry of its claim.
 *
 * <p>The write replaces only the claim's own entry. If its answer is lost, the key is read back; while the entry is
 * still in state {@code CLAIMED}, the write is repeated at the revision that was read. If all attempts fail, the entry
 * stays in state {@code CLAIMED}, and after the deadline in it the outcome of the call counts as unknown.
 */
public final class RecordProcedure implements LedgerProcedure {
    private static final int RETRIES = 8;
    private static final long FIRST_DELAY_MILLIS = 50;
    private static final long MAX_DELAY_MILLIS = 5_000;

    private final LedgerEntry entry;
    private final long revision;
    private final RetrySchedule schedule;

    /**
     * Creates a procedure.
     *
     * @param entry the entry to write, in state {@code DONE} or {@code UNKNOWN}
     * @param revision revision of the claim's entry
     */
    public RecordProcedure(LedgerEntry entry, long revision) {
        this.entry = entry;
        this.revision = revision;
        this.schedule = new RetrySchedule(RETRIES, FIRST_DELAY_MILLIS, MAX_DELAY_MILLIS, Long.MAX_VALUE);
    }

    @Override
    public LedgerStep start() {
        return new LedgerStep.Swap(0, revision, entry);
    }

    @Override
    public LedgerStep onSwap(SwapResult result, long now) {
        return result.swapped() ? new LedgerStep.Settled(true) : onRead(result.current(), now);
    }

    @Override
    public LedgerStep onRead(Optional<StoreEntry> found, long now) {
        Optional<LedgerEntry> stored = found.flatMap(LedgerCodec::decode);
        if (stored.isEmpty() || !stored.get().claim().equals(entry.claim())) {
            return new LedgerStep.Settled(false);
        }
        if (stored.get().state() != LedgerEntry.State.CLAIMED) {
            return new LedgerStep.Settled(stored.get().state() == entry.state());
        }
        OptionalLong delay = schedule.next(now);
        return delay.isEmpty()
                ? new LedgerStep.Settled(false)
                : new LedgerStep.Swap(delay.getAsLong(), found.get().revision(), entry);
    }

    @Override
    public LedgerStep onDelete(boolean deleted, long now) {
        throw new IllegalStateException("a record deletes nothing");
    }

    @Override
    public LedgerStep onFailure(ErrorType type, long now) {
        OptionalLong delay = schedule.next(now);
        return delay.isEmpty() ? new LedgerStep.Settled(false) : new LedgerStep.Read(delay.getAsLong());
    }
}
