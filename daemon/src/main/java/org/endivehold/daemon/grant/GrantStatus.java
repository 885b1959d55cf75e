package org.endivehold.daemon.grant;

import java.util.List;
import org.endivehold.grant.Grantor;
import org.endivehold.grant.GroupGrantor;
import org.endivehold.misc.Epoch;

/**
 * The grants of one daemon for operators.
 *
 * @param grantors the grantors that it knows
 * @param held the groups of which it is the grantor
 */
public record GrantStatus(List<GroupGrantor> grantors, List<Held> held) {
    /**
     * One group.
     *
     * @param group the group
     * @param epoch the fencing number
     * @param leaseValid whether the lease is certainly held
     * @param complete whether everybody who may hold shares has been heard of
     * @param upstreams its upstreams
     */
    public record Held(
            int group, Epoch epoch, boolean leaseValid, boolean complete, List<Grantor.UpstreamStatus> upstreams) {}
}
