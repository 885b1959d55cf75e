package org.endivehold.wire;

import com.fasterxml.jackson.annotation.JsonIgnore;
import org.endivehold.misc.HostId;
import org.endivehold.misc.Incarnation;
import org.endivehold.misc.ZoneName;

/**
 * Handshake: the first message that each side sends on a connection.
 *
 * @param host the sender's host
 * @param incarnation number that distinguishes successive daemon processes on that host
 * @param zone the sender's availability zone
 * @param address IP address at which the sender accepts peer connections
 * @param port TCP port of that address
 */
public record Hello(HostId host, Incarnation incarnation, ZoneName zone, String address, int port) implements Message {
    /**
     * Returns whether all components were received and the port is valid.
     *
     * @return false if one is missing or out of range
     */
    @JsonIgnore
    public boolean isComplete() {
        return host != null && incarnation != null && zone != null && address != null && port > 0 && port < 65_536;
    }
}
