package org.endivehold.grant;

import java.util.List;
import org.endivehold.misc.Epoch;
import org.endivehold.misc.HostId;
import org.endivehold.upstream.StreamOwner;

/**
 * What a grantor that has stopped says to its successor.
 *
 * @param epoch the epoch in which it acted last
 * @param complete whether its own takeover was complete, so that no earlier grantor can have served others
 * @param served hosts that it served, asked or had yet to hear of
 * @param processes the newest process of each host that it served
 */
public record GrantorStatement(Epoch epoch, boolean complete, List<HostId> served, List<StreamOwner> processes) {
    /** Copies the lists. */
    public GrantorStatement {
        served = served == null ? List.of() : List.copyOf(served);
        processes = processes == null ? List.of() : List.copyOf(processes);
    }
}
