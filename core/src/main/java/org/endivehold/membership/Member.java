package org.endivehold.membership;

import org.endivehold.misc.HostId;
import org.endivehold.misc.Incarnation;
import org.endivehold.misc.ZoneName;

/**
 * What one daemon says of itself in the key-value service.
 *
 * @param host its host
 * @param incarnation its process
 * @param zone its availability zone
 * @param address IP address for peers
 * @param port TCP port for peers
 * @param leaving whether it is about to leave
 */
public record Member(HostId host, Incarnation incarnation, ZoneName zone, String address, int port, boolean leaving) {
    /**
     * Returns this entry as that of a daemon that is about to leave.
     *
     * @return the changed entry
     */
    public Member asLeaving() {
        return new Member(host, incarnation, zone, address, port, true);
    }
}
