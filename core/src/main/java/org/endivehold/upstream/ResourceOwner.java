package org.endivehold.upstream;

import org.endivehold.misc.HostId;
import org.endivehold.misc.Incarnation;

/**
 * The daemon process that owns a stream, an exported cache or a reservation.
 *
 * @param host its host
 * @param incarnation number that distinguishes successive daemon processes on that host
 */
public record ResourceOwner(HostId host, Incarnation incarnation) {}
