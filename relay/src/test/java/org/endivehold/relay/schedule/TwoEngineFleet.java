package org.endivehold.relay.schedule;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.endivehold.relay.route.EngineProfile;
import org.endivehold.relay.route.RelayService;
import org.endivehold.relay.route.RoutingTable;
import org.endivehold.relay.route.UpstreamEntry;
import org.endivehold.relay.state.FleetView;
import org.endivehold.relay.state.Upstream;

/** Two engines of one service. */
final class TwoEngineFleet implements FleetView {
    private final RoutingTable table;

    TwoEngineFleet(EngineProfile profile) {
        table = RoutingTable.builder(1)
                .service(new RelayService("engines", "/health", 100, 0, Optional.of(profile)))
                .build();
    }

    @Override
    public boolean complete() {
        return true;
    }

    @Override
    public Optional<RoutingTable> table() {
        return Optional.of(table);
    }

    @Override
    public double sinceTableConfirmedMillis() {
        return 0;
    }

    @Override
    public Collection<Upstream> upstreams(String service) {
        return List.of(upstream("e1").orElseThrow(), upstream("e2").orElseThrow());
    }

    @Override
    public Collection<Upstream> upstreams() {
        return upstreams("engines");
    }

    @Override
    public Collection<String> services() {
        return List.of("engines");
    }

    @Override
    public Optional<Upstream> upstream(String id) {
        return Optional.of(new Upstream(new UpstreamEntry(id, "engines", null, "zone", 2, false, 0, 0), 0));
    }
}
