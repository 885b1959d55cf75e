package org.endivehold.ledger;

import java.util.Optional;
import org.endivehold.error.ErrorType;
import org.endivehold.platform.StoreEntry;
import org.endivehold.platform.SwapResult;

/**
 * State machine for one change to one key that tolerates lost answers and outages of the key-value service. The driver
 * executes each step and reports its result to the procedure, which returns the next step. After one of the final steps
 * the driver makes no further calls.
 */
public interface LedgerProcedure {
    /**
     * Starts the procedure; called once, before any other method.
     *
     * @return the first step
     */
    LedgerStep start();

    /**
     * Reports the result of a compare-and-swap.
     *
     * @param result the result
     * @param now monotonic time in milliseconds
     * @return the next step
     */
    LedgerStep onSwap(SwapResult result, long now);

    /**
     * Reports the result of a read.
     *
     * @param found the key's entry, or empty if the key does not exist
     * @param now monotonic time in milliseconds
     * @return the next step
     */
    LedgerStep onRead(Optional<StoreEntry> found, long now);

    /**
     * Reports the result of a delete.
     *
     * @param deleted whether this delete removed the key
     * @param now monotonic time in milliseconds
     * @return the next step
     */
    LedgerStep onDelete(boolean deleted, long now);

    /**
     * Reports that the step failed.
     *
     * @param type {@code STORE_UNKNOWN} if a write may have taken effect or may do so later; any other type if it did
     *     not
     * @param now monotonic time in milliseconds
     * @return the next step
     */
    LedgerStep onFailure(ErrorType type, long now);
}
