package org.endivehold.capacity;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.endivehold.misc.UpstreamName;

/** The permits in use at one daemon, with their sum per upstream. */
final class PermitBook {
    private final Map<Long, Permit> open = new HashMap<>();
    private final Map<UpstreamName, Amount> pooled = new TreeMap<>();
    private final Map<UpstreamName, Amount> reserved = new TreeMap<>();
    private long lastId;

    /**
     * Opens a permit.
     *
     * @param upstream the upstream
     * @param memoryTokens its memory in tokens
     * @param isReserved whether it stands on a reservation
     * @return the permit
     */
    Permit open(UpstreamName upstream, long memoryTokens, boolean isReserved) {
        Permit permit = new Permit(++lastId, upstream, memoryTokens, isReserved);
        open.put(permit.id(), permit);
        sums(permit).merge(upstream, new Amount(1, memoryTokens), Amount::plus);
        return permit;
    }

    /**
     * Closes a permit.
     *
     * @param permit the permit
     * @return false if it was closed before
     */
    boolean close(Permit permit) {
        if (open.remove(permit.id()) == null) {
            return false;
        }
        Amount one = new Amount(1, permit.memoryTokens());
        sums(permit).computeIfPresent(permit.upstream(), (name, sum) -> rest(sum.minus(one)));
        return true;
    }

    /**
     * Returns what pooled permits use.
     *
     * @param upstream the upstream
     * @return the sum over open permits
     */
    Amount pooled(UpstreamName upstream) {
        return pooled.getOrDefault(upstream, Amount.ZERO);
    }

    /**
     * Returns what reserved permits use.
     *
     * @param upstream the upstream
     * @return the sum over open permits
     */
    Amount reserved(UpstreamName upstream) {
        return reserved.getOrDefault(upstream, Amount.ZERO);
    }

    private Map<UpstreamName, Amount> sums(Permit permit) {
        return permit.reserved() ? reserved : pooled;
    }

    private static Amount rest(Amount sum) {
        return sum.slots() == 0 ? null : sum;
    }
}
