package org.endivehold.upstream;

import org.endivehold.misc.HostId;
import org.endivehold.misc.Incarnation;

/**
 * The daemon process that owns a stream, an exported cache or a reservation.
 *
 * @param host host of the daemon
 * @param incarnation number that distinguishes successive daemon processes on that host
 */
public record ResourceOwner(HostId host, Incarnation incarnation) {}
