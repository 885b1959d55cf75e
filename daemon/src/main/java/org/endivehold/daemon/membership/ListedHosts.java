package org.endivehold.daemon.membership;

import java.util.List;
import org.endivehold.platform.HostEntry;

/**
 * One reading of the platform's host list.
 *
 * @param readAt monotonic time at which the reading was asked for, in milliseconds
 * @param hosts the hosts
 */
public record ListedHosts(long readAt, List<HostEntry> hosts) {}
