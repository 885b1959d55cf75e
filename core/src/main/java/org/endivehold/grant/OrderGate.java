package org.endivehold.grant;

/**
 * Decides whether a grantor may send an order.
 *
 * <p>An upstream that checks fencing numbers refuses orders of an old grantor by itself. One that does not must never
 * get orders of two grantors in a mixed order; so the old grantor stops sending as long before its lease may lapse as
 * an order can be under way, and the new one starts that much after it took the lease. During an outage of the
 * key-value service nobody can take over, but the grantor cannot know that nobody has; then it sends such an upstream
 * only what frees memory, which does no harm in any order.
 */
final class OrderGate {
    private final long startedAt;
    private final long orderMillis;

    /**
     * Creates the gate of a new grantor.
     *
     * @param startedAt monotonic time at which it took the lease, in milliseconds
     * @param orderMillis longest time that an order can be under way, in milliseconds
     */
    OrderGate(long startedAt, long orderMillis) {
        this.startedAt = startedAt;
        this.orderMillis = orderMillis;
    }

    /**
     * Decides.
     *
     * @param checksFencing whether the upstream refuses old fencing numbers
     * @param freesMemory whether the order only frees memory
     * @param leaseUntil until when the lease is certainly held
     * @param now monotonic time in milliseconds
     * @return whether the order may be sent now
     */
    boolean isOpen(boolean checksFencing, boolean freesMemory, long leaseUntil, long now) {
        if (checksFencing) {
            return true;
        }
        if (now < startedAt + orderMillis) {
            return false;
        }
        return freesMemory || now < leaseUntil - orderMillis;
    }
}
