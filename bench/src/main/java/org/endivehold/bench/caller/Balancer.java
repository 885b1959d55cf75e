package org.endivehold.bench.caller;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.endivehold.bench.fleet.Fleet;
import org.endivehold.bench.fleet.FleetDaemon;

/** Models the platform's load balancer: round robin over the daemons that were ready at the last refresh. */
public final class Balancer {
    private final AtomicInteger next = new AtomicInteger();
    private volatile List<Integer> ports = List.of();

    /**
     * Updates the list of ready daemons.
     *
     * @param fleet the fleet
     */
    public void refresh(Fleet fleet) {
        ports = fleet.daemons().stream()
                .filter(FleetDaemon::isReady)
                .map(FleetDaemon::callerPort)
                .toList();
    }

    /**
     * Returns the caller port of the next ready daemon.
     *
     * @return TCP port; 0 if no daemon is ready
     */
    public int nextPort() {
        List<Integer> current = ports;
        return current.isEmpty() ? 0 : current.get(Math.floorMod(next.getAndIncrement(), current.size()));
    }
}
