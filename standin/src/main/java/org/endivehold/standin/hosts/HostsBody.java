package org.endivehold.standin.hosts;

import java.util.List;
import org.endivehold.platform.HostEntry;

/**
 * The list as {@code /v1/hosts} has it.
 *
 * @param hosts the hosts
 */
public record HostsBody(List<HostEntry> hosts) {
    /** Copies the list. */
    public HostsBody {
        hosts = List.copyOf(hosts);
    }
}
