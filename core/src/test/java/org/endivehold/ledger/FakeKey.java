package org.endivehold.ledger;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.endivehold.error.ErrorType;
import org.endivehold.platform.StoreEntry;
import org.endivehold.platform.SwapResult;

/** One key of a key-value service, with answers that are lost before, after or long before the change takes effect. */
final class FakeKey {
    /** What happens to one call. */
    enum Fate {
        /** Takes effect and is answered. */
        DONE,
        /** Takes effect, and the answer is lost. */
        LOST_LANDED,
        /** Takes effect only when {@link #landNext} is called, and the answer is lost. */
        LOST_LATE,
        /** Takes no effect, and the answer is lost. */
        LOST_NEVER,
        /** Refused: takes no effect, and the caller is told so. */
        UNAVAILABLE
    }

    private final Deque<Runnable> late = new ArrayDeque<>();
    private Optional<StoreEntry> current = Optional.empty();
    private long revision;

    Optional<LedgerEntry> entry() {
        return current.flatMap(LedgerCodec::decode);
    }

    void put(byte[] value) {
        current = Optional.of(new StoreEntry("key", value, ++revision));
    }

    void landNext() {
        if (!late.isEmpty()) {
            late.remove().run();
        }
    }

    /** Carries a step out and reports its result to the procedure. */
    LedgerStep carryOut(LedgerProcedure procedure, LedgerStep step, Fate fate, long now) {
        switch (fate) {
            case DONE -> {
                return report(procedure, step, now);
            }
            case LOST_LANDED -> apply(step);
            case LOST_LATE -> late.add(() -> apply(step));
            default -> {}
        }
        boolean lost = fate != Fate.UNAVAILABLE;
        return procedure.onFailure(lost ? ErrorType.STORE_UNKNOWN : ErrorType.STORE_UNAVAILABLE, now);
    }

    private LedgerStep report(LedgerProcedure procedure, LedgerStep step, long now) {
        boolean changed = apply(step);
        if (step instanceof LedgerStep.Swap) {
            return procedure.onSwap(new SwapResult(changed, current), now);
        }
        return step instanceof LedgerStep.Delete ? procedure.onDelete(changed, now) : procedure.onRead(current, now);
    }

    private boolean apply(LedgerStep step) {
        long stands = current.map(StoreEntry::revision).orElse(0L);
        if (step instanceof LedgerStep.Swap swap && swap.expected() == stands) {
            put(LedgerCodec.encode(swap.entry()));
            return true;
        }
        if (step instanceof LedgerStep.Delete delete && delete.expected() == stands) {
            current = Optional.empty();
            return true;
        }
        return false;
    }
}
