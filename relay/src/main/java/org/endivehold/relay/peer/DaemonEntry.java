package org.endivehold.relay.peer;

import io.vertx.core.net.SocketAddress;

/**
 * A daemon as others know it.
 *
 * @param name its name with the number of its start
 * @param host address of its peer port
 * @param port its peer port
 * @param zone its availability zone
 * @param capacity processor cores that it has
 */
public record DaemonEntry(String name, String host, int port, String zone, double capacity) {
    /** Returns where it listens for other daemons. */
    public SocketAddress address() {
        return SocketAddress.inetSocketAddress(port, host);
    }
}
