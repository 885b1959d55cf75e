package org.endivehold.grant;

import org.endivehold.misc.Epoch;
import org.endivehold.misc.UpstreamName;

/**
 * One slot and some memory of an upstream set apart for one long prompt.
 *
 * @param group group of the upstream
 * @param epoch fencing number of the grantor that made it
 * @param serial number of the reservation within the epoch
 * @param upstream the upstream
 * @param memoryTokens KV memory in tokens
 */
public record Reservation(int group, Epoch epoch, long serial, UpstreamName upstream, long memoryTokens) {
    /**
     * Returns what it occupies.
     *
     * @return one slot and the memory
     */
    public Amount amount() {
        return new Amount(1, memoryTokens);
    }
}
