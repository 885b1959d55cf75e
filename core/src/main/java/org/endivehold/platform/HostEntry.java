package org.endivehold.platform;

import org.endivehold.misc.HostId;
import org.endivehold.misc.ZoneName;

/**
 * One host of the system's own.
 *
 * @param host the host
 * @param zone its availability zone
 * @param address IP address for peers
 * @param peerPort TCP port for peers
 * @param leaving whether the platform is about to take the host away
 */
public record HostEntry(HostId host, ZoneName zone, String address, int peerPort, boolean leaving) {}
