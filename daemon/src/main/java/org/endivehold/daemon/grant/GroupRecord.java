package org.endivehold.daemon.grant;

import org.endivehold.misc.Epoch;
import org.endivehold.misc.HostId;
import org.endivehold.misc.Incarnation;

/**
 * The key-value service's record of a group. It stays when its grantor ends, so that epochs grow for ever.
 *
 * @param host the grantor's host
 * @param incarnation the grantor's process
 * @param session revision of the session key under which the group was taken; 0 if it was given up
 * @param epoch the grantor's epoch
 */
record GroupRecord(HostId host, Incarnation incarnation, long session, Epoch epoch) {}
