package org.endivehold.daemon.grant;

import org.endivehold.misc.HostId;
import org.endivehold.misc.Incarnation;

/**
 * Value of a session key, which is bound to a lease: while the key stands with one revision, the daemon holds all
 * groups that it took under that revision. So one renewal keeps all groups of a daemon.
 *
 * @param host the host
 * @param incarnation the process
 */
record SessionRecord(HostId host, Incarnation incarnation) {}
