package org.endivehold.relay.state;

/** Is informed of each call to the store that has ended. */
@FunctionalInterface
public interface StoreCallListener {
    /**
     * A call has ended. Each page of a range is a call of its own.
     *
     * @param kind {@code range}, {@code stale_range}, {@code watch}, {@code lease}, {@code renew}, {@code put} or
     *     {@code revoke}
     * @param result {@code ok}, {@code gone} (the lease or the history has ended), {@code refused}, or {@code failed}
     *     (no answer)
     */
    void callEnded(String kind, String result);
}
