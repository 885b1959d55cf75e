package org.endivehold.relay;

import io.vertx.core.net.SocketAddress;
import java.util.List;
import org.endivehold.relay.serve.RelayBounds;

/**
 * Settings of one daemon.
 *
 * @param name its name
 * @param zone its availability zone
 * @param capacity processor cores that it may use
 * @param callers where it listens for callers
 * @param readiness where it tells whether it is ready
 * @param peers where it listens for other daemons
 * @param metrics where it serves metrics
 * @param seeds peer addresses of some daemons, perhaps stale
 * @param store address of the platform's store
 * @param leastLeaseMillis shortest lease that the store grants
 * @param bounds limits of this deployment
 */
public record RelaySettings(
        String name,
        String zone,
        double capacity,
        SocketAddress callers,
        SocketAddress readiness,
        SocketAddress peers,
        SocketAddress metrics,
        List<SocketAddress> seeds,
        SocketAddress store,
        int leastLeaseMillis,
        RelayBounds bounds) {
    /** Keeps an immutable copy of the seeds. */
    public RelaySettings {
        seeds = List.copyOf(seeds);
    }
}
