package org.endivehold.membership;

import org.endivehold.misc.HostId;
import org.endivehold.misc.Incarnation;
import org.endivehold.misc.ZoneName;

/**
 * The entry by which a daemon registers itself in the key-value service.
 *
 * @param host host of the daemon
 * @param incarnation number of the daemon process on its host
 * @param zone availability zone of the host
 * @param address IP address for connections from peers
 * @param port TCP port for connections from peers
 * @param leaving whether the daemon is about to shut down
 */
public record Member(HostId host, Incarnation incarnation, ZoneName zone, String address, int port, boolean leaving) {
    /**
     * Returns a copy of this entry with {@code leaving} set.
     *
     * @return the copy
     */
    public Member asLeaving() {
        return new Member(host, incarnation, zone, address, port, true);
    }
}
