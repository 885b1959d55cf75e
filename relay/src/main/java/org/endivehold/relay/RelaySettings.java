package org.endivehold.relay;

import io.vertx.core.net.SocketAddress;
import java.util.List;
import org.endivehold.relay.connection.ConnectionLimits;
import org.endivehold.relay.serve.RelayBounds;

/**
 * Settings of one daemon.
 *
 * @param name unique name of the daemon
 * @param zone availability zone in which the daemon runs
 * @param capacity processor cores that the daemon may use
 * @param callers address on which the daemon accepts requests of callers
 * @param readiness address of the readiness check
 * @param peers address on which the daemon accepts connections of other daemons
 * @param metrics address on which metrics are served
 * @param seeds peer addresses of some daemons for the first contact; they may be out of date
 * @param store address of the platform's store
 * @param leastLeaseMillis shortest lease that the store grants, in milliseconds
 * @param bounds limits of this deployment
 * @param connections limits on the connections that others open
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
        RelayBounds bounds,
        ConnectionLimits connections) {
    /** Copies the seeds, so that the record is immutable. */
    public RelaySettings {
        seeds = List.copyOf(seeds);
    }
}
