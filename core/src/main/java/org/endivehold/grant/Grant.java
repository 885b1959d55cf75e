package org.endivehold.grant;

import org.endivehold.misc.BootNumber;
import org.endivehold.misc.Epoch;
import org.endivehold.misc.UpstreamName;

/**
 * The right of one daemon to use part of an upstream for a while. Its time runs on the holder's clock from when the
 * holder sent the request that it answers; a grant that changes an earlier one in between keeps the earlier one's end.
 *
 * @param group group of the upstream
 * @param epoch fencing number of the grantor
 * @param serial number of the grant, growing within the epoch
 * @param upstream the upstream
 * @param amount what may be used
 * @param residualSlots the part of the slots that may be used after the grant's time
 * @param ttlMillis time to live in milliseconds
 * @param boot boot number of the upstream, as far as the grantor knows
 * @param waitingPrefillTokens prompt tokens that wait there by the last report
 */
public record Grant(
        int group,
        Epoch epoch,
        long serial,
        UpstreamName upstream,
        Amount amount,
        int residualSlots,
        long ttlMillis,
        BootNumber boot,
        long waitingPrefillTokens) {
    /**
     * Returns what may be used after the grant's time: the residual slots and their part of the memory.
     *
     * @return the residual amount
     */
    public Amount residual() {
        return residual(amount, residualSlots);
    }

    static Amount residual(Amount amount, int residualSlots) {
        int slots = Math.min(residualSlots, amount.slots());
        return slots == 0 ? Amount.ZERO : new Amount(slots, amount.memoryTokens() / amount.slots() * slots);
    }
}
