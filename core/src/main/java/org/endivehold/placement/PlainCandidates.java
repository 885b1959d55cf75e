package org.endivehold.placement;

import java.util.List;
import java.util.Optional;
import org.endivehold.config.AvailabilityZone;
import org.endivehold.config.Configuration;
import org.endivehold.config.Route;
import org.endivehold.config.Upstream;
import org.endivehold.misc.RouteName;
import org.endivehold.misc.UpstreamName;

/** Selects the plain services, upstreams of kind {@code PLAIN}, that take new calls of a route. */
public final class PlainCandidates {
    private PlainCandidates() {}

    /**
     * Returns the upstreams of a route that are in state {@code SERVING}, in an availability zone in state {@code IN}.
     *
     * @param configuration the active configuration
     * @param route name of the route
     * @return the upstreams in the route's order; empty if the configuration has no such plain route
     */
    public static List<UpstreamName> of(Configuration configuration, RouteName route) {
        Route current = configuration.routes().get(route);
        if (current == null || current.kind() != Route.Kind.PLAIN) {
            return List.of();
        }
        return current.upstreams().stream()
                .filter(name -> takesNewCalls(configuration, name))
                .toList();
    }

    private static boolean takesNewCalls(Configuration configuration, UpstreamName name) {
        Optional<Upstream> upstream =
                Optional.ofNullable(configuration.upstreams().get(name));
        return upstream.filter(u -> u.kind() == Upstream.Kind.PLAIN && u.state() == Upstream.State.SERVING)
                .map(u -> configuration.zones().get(u.zone()))
                .filter(zone -> zone.state() == AvailabilityZone.State.IN)
                .isPresent();
    }
}
