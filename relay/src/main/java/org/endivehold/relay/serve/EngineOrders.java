package org.endivehold.relay.serve;

import io.vertx.core.Future;
import org.endivehold.relay.state.Upstream;

/** Orders to engines about their memory. */
public interface EngineOrders {
    /**
     * Reserves memory, or renews a reservation with the same id.
     *
     * @param engine the engine
     * @param reservation its id
     * @param tokens the memory
     * @param holdMillis how long it is held without a renewal
     * @return when it is held; fails with {@code RESERVATION_REFUSED} if it is not, with {@code UPSTREAM_TIMEOUT} if
     *     that is not known
     */
    Future<Void> reserve(Upstream engine, String reservation, long tokens, int holdMillis);

    /** Ends a reservation. */
    Future<Void> release(Upstream engine, String reservation);
}
