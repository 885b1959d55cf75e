package org.endivehold.ledger;

import java.util.Optional;
import org.endivehold.error.ErrorType;
import org.endivehold.platform.StoreEntry;
import org.endivehold.platform.SwapResult;

/**
 * One change to one key, carried through lost answers and outages. The driver carries out each step and reports what
 * came of it, until a step is an end; a procedure then takes no further reports.
 */
public interface LedgerProcedure {
    /**
     * Starts.
     *
     * @return the first step
     */
    LedgerStep start();

    /**
     * A compare-and-swap was answered.
     *
     * @param result its result
     * @param now monotonic time in milliseconds
     * @return the next step
     */
    LedgerStep onSwap(SwapResult result, long now);

    /**
     * A read was answered.
     *
     * @param found the key's entry, or empty if the key does not exist
     * @param now monotonic time in milliseconds
     * @return the next step
     */
    LedgerStep onRead(Optional<StoreEntry> found, long now);

    /**
     * A delete was answered.
     *
     * @param deleted whether it took place
     * @param now monotonic time in milliseconds
     * @return the next step
     */
    LedgerStep onDelete(boolean deleted, long now);

    /**
     * The step failed.
     *
     * @param type {@code STORE_UNKNOWN} if a write may have taken effect or still may; another type if it did not
     * @param now monotonic time in milliseconds
     * @return the next step
     */
    LedgerStep onFailure(ErrorType type, long now);
}
