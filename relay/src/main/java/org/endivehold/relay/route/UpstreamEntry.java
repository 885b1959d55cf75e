package org.endivehold.relay.route;

import io.vertx.core.net.SocketAddress;

/**
 * An upstream as it is registered.
 *
 * @param id names one start of the upstream
 * @param service its service
 * @param address where it listens
 * @param zone its availability zone
 * @param slots requests that it runs at once; 0 if it does not say
 * @param leaving whether it takes no new work
 * @param coldMillis how much longer it is cold, counted from when the entry was written
 */
public record UpstreamEntry(
        String id, String service, SocketAddress address, String zone, int slots, boolean leaving, long coldMillis) {}
