package org.endivehold.bench.caller;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.endivehold.bench.fleet.Fleet;
import org.endivehold.bench.fleet.FleetDaemon;

/** The platform's balancer: the ready daemons in turn, as of its last look at them. */
public final class Balancer {
    private final AtomicInteger next = new AtomicInteger();
    private volatile List<Integer> ports = List.of();

    /**
     * Looks which daemons are ready.
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
     * Chooses a daemon.
     *
     * @return its port for callers; 0 if none is ready
     */
    public int port() {
        List<Integer> current = ports;
        return current.isEmpty() ? 0 : current.get(Math.floorMod(next.getAndIncrement(), current.size()));
    }
}
