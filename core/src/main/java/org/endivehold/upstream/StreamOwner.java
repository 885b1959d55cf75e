package org.endivehold.upstream;

import org.endivehold.misc.HostId;
import org.endivehold.misc.Incarnation;

/**
 * The daemon process that answers for a stream, an exported cache or a reservation.
 *
 * @param host its host
 * @param incarnation its process on that host
 */
public record StreamOwner(HostId host, Incarnation incarnation) {}
