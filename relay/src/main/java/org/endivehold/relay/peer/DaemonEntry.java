package org.endivehold.relay.peer;

import io.vertx.core.net.SocketAddress;

/**
 * Identity, peer address and capacity of a daemon.
 *
 * @param name its name and the number of its start, unique for each start
 * @param host host of its peer address
 * @param port its peer port
 * @param zone its availability zone
 * @param capacity processor cores that it may use
 */
public record DaemonEntry(String name, String host, int port, String zone, double capacity) {
    /** Returns the address on which it accepts connections of other daemons. */
    public SocketAddress address() {
        return SocketAddress.inetSocketAddress(port, host);
    }

    // Written out, since the JVM builds the default methods of a record at their first use, at each start of a daemon.

    @Override
    public boolean equals(Object other) {
        return other instanceof DaemonEntry entry
                && port == entry.port
                && Double.compare(capacity, entry.capacity) == 0
                && name.equals(entry.name)
                && host.equals(entry.host)
                && zone.equals(entry.zone);
    }

    @Override
    public int hashCode() {
        return name.hashCode();
    }
}
