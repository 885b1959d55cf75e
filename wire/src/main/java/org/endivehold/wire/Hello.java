package org.endivehold.wire;

import org.endivehold.misc.HostId;
import org.endivehold.misc.Incarnation;
import org.endivehold.misc.ZoneName;

/**
 * First message on a connection, in both directions.
 *
 * @param host the sender's host
 * @param incarnation the sender's process
 * @param zone the sender's availability zone
 */
public record Hello(HostId host, Incarnation incarnation, ZoneName zone) implements Message {}
