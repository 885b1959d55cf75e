package org.endivehold.relay.serve;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.endivehold.relay.route.RelayService;
import org.endivehold.relay.state.Upstream;

/** Chooses the upstream of a plain service that gets a request: the one with the best load score. */
final class PlainUpstreamSelector {
    private final RelayContext context;
    private final RelayService service;
    private final PlainUpstreamLoads loads;

    PlainUpstreamSelector(RelayContext context, RelayService service, PlainUpstreamLoads loads) {
        this.context = context;
        this.service = service;
        this.loads = loads;
    }

    /**
     * Returns the best upstream, if any may get the request. One that fails or is not reached is chosen only if there
     * is no other.
     *
     * @param tried upstreams that have had the request, which are not chosen again
     */
    Optional<Upstream> choose(Set<String> tried) {
        double now = context.now();
        List<Upstream> usable = new ArrayList<>();
        List<Upstream> failing = new ArrayList<>();
        for (Upstream candidate : context.fleet().upstreams(service.name())) {
            if (!tried.contains(candidate.id()) && mayGetRequests(candidate, now)) {
                (isFailing(candidate, now) ? failing : usable).add(candidate);
            }
        }
        List<Upstream> candidates = usable.isEmpty() ? failing : usable;
        return candidates.stream()
                .min(Comparator.comparingDouble(u -> loads.score(u, context.health(), context.random(), now)));
    }

    private boolean mayGetRequests(Upstream candidate, double now) {
        return !context.isBarred(candidate)
                && (!candidate.cold(now) || context.coldUpstreamHasCapacity(service, candidate));
    }

    private boolean isFailing(Upstream candidate, double now) {
        return context.health().ejected(candidate.id(), now) || context.paths().isLost(candidate);
    }
}
