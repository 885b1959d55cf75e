package org.endivehold.capacity;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.endivehold.misc.UpstreamName;

/** Keeps the open permits of one daemon, and their total per upstream. */
final class PermitRegistry {
    private final Map<Long, Permit> open = new HashMap<>();
    private final Map<UpstreamName, Amount> unreserved = new TreeMap<>();
    private final Map<UpstreamName, Amount> reserved = new TreeMap<>();
    private long lastId;

    /**
     * Opens a permit.
     *
     * @param upstream the upstream
     * @param memoryTokens memory that it covers, in tokens
     * @param isReserved whether it belongs to a reservation
     * @return the permit
     */
    Permit open(UpstreamName upstream, long memoryTokens, boolean isReserved) {
        Permit permit = new Permit(++lastId, upstream, memoryTokens, isReserved);
        open.put(permit.id(), permit);
        totals(permit).merge(upstream, new Amount(1, memoryTokens), Amount::plus);
        return permit;
    }

    /**
     * Closes a permit.
     *
     * @param permit the permit
     * @return false if it was already closed
     */
    boolean close(Permit permit) {
        if (open.remove(permit.id()) == null) {
            return false;
        }
        Amount one = new Amount(1, permit.memoryTokens());
        totals(permit).computeIfPresent(permit.upstream(), (name, sum) -> nullIfUnused(sum.minus(one)));
        return true;
    }

    /**
     * Returns the capacity that permits without a reservation use.
     *
     * @param upstream the upstream
     * @return the total of the open permits
     */
    Amount unreserved(UpstreamName upstream) {
        return unreserved.getOrDefault(upstream, Amount.ZERO);
    }

    /**
     * Returns the capacity that permits of reservations use.
     *
     * @param upstream the upstream
     * @return the total of the open permits
     */
    Amount reserved(UpstreamName upstream) {
        return reserved.getOrDefault(upstream, Amount.ZERO);
    }

    private Map<UpstreamName, Amount> totals(Permit permit) {
        return permit.reserved() ? reserved : unreserved;
    }

    private static Amount nullIfUnused(Amount sum) {
        return sum.slots() == 0 ? null : sum;
    }
}
