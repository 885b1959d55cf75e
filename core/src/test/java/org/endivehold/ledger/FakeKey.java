package org.endivehold.ledger;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.endivehold.error.ErrorType;
import org.endivehold.platform.StoreEntry;
import org.endivehold.platform.SwapResult;

/** Fake of one key of the key-value service, which can lose requests and answers and apply changes late. */
final class FakeKey {
    /** What happens to one operation. */
    enum Outcome {
        /** It is applied and answered. */
        DONE,
        /** It is applied, and the answer is lost. */
        APPLIED_UNANSWERED,
        /** The answer is lost, and the operation is applied later, by {@link #applyNextLate}. */
        APPLIED_LATE_UNANSWERED,
        /** The operation is lost: it is not applied, and there is no answer. */
        NOT_APPLIED_UNANSWERED,
        /** It is refused: it is not applied, and the caller gets a definite failure. */
        UNAVAILABLE
    }

    private final Deque<Runnable> lateOperations = new ArrayDeque<>();
    private Optional<StoreEntry> current = Optional.empty();
    private long revision;

    Optional<LedgerEntry> entry() {
        return current.flatMap(LedgerCodec::decode);
    }

    void put(byte[] value) {
        current = Optional.of(new StoreEntry("key", value, ++revision));
    }

    void applyNextLate() {
        if (!lateOperations.isEmpty()) {
            lateOperations.remove().run();
        }
    }

    /** Executes a step with the given outcome and reports the result to the procedure. */
    LedgerStep execute(LedgerProcedure procedure, LedgerStep step, Outcome outcome, long now) {
        switch (outcome) {
            case DONE -> {
                return report(procedure, step, now);
            }
            case APPLIED_UNANSWERED -> apply(step);
            case APPLIED_LATE_UNANSWERED -> lateOperations.add(() -> apply(step));
            default -> {}
        }
        boolean unanswered = outcome != Outcome.UNAVAILABLE;
        return procedure.onFailure(unanswered ? ErrorType.STORE_UNKNOWN : ErrorType.STORE_UNAVAILABLE, now);
    }

    private LedgerStep report(LedgerProcedure procedure, LedgerStep step, long now) {
        boolean changed = apply(step);
        if (step instanceof LedgerStep.Swap) {
            return procedure.onSwap(new SwapResult(changed, current), now);
        }
        return step instanceof LedgerStep.Delete ? procedure.onDelete(changed, now) : procedure.onRead(current, now);
    }

    private boolean apply(LedgerStep step) {
        long currentRevision = current.map(StoreEntry::revision).orElse(0L);
        if (step instanceof LedgerStep.Swap swap && swap.expected() == currentRevision) {
            put(LedgerCodec.encode(swap.entry()));
            return true;
        }
        if (step instanceof LedgerStep.Delete delete && delete.expected() == currentRevision) {
            current = Optional.empty();
            return true;
        }
        return false;
    }
}
