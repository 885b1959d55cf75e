package org.endivehold.grant;

import org.endivehold.misc.Epoch;
import org.endivehold.misc.HostId;

/**
 * Who is the grantor of a group.
 *
 * @param group the group
 * @param host the grantor's host
 * @param epoch its epoch
 */
public record GroupGrantor(int group, HostId host, Epoch epoch) {}
