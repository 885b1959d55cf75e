package org.endivehold.placement;

import java.util.List;
import java.util.Optional;
import org.endivehold.config.AvailabilityZone;
import org.endivehold.config.Configuration;
import org.endivehold.config.Route;
import org.endivehold.config.Upstream;
import org.endivehold.misc.RouteName;
import org.endivehold.misc.UpstreamName;

/** Finds the plain services that may get new work of a route. */
public final class PlainCandidates {
    private PlainCandidates() {}

    /**
     * Lists the upstreams of a route that serve and whose zone is in, by the configuration in force now.
     *
     * @param configuration the configuration in force
     * @param route name of the route
     * @return the upstreams in the route's order; empty if the route is gone
     */
    public static List<UpstreamName> of(Configuration configuration, RouteName route) {
        Route current = configuration.routes().get(route);
        if (current == null || current.kind() != Route.Kind.PLAIN) {
            return List.of();
        }
        return current.upstreams().stream()
                .filter(name -> takesWork(configuration, name))
                .toList();
    }

    private static boolean takesWork(Configuration configuration, UpstreamName name) {
        Optional<Upstream> upstream =
                Optional.ofNullable(configuration.upstreams().get(name));
        return upstream.filter(u -> u.kind() == Upstream.Kind.PLAIN && u.state() == Upstream.State.SERVING)
                .map(u -> configuration.zones().get(u.zone()))
                .filter(zone -> zone.state() == AvailabilityZone.State.IN)
                .isPresent();
    }
}
