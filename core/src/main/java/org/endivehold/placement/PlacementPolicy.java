package org.endivehold.placement;

import java.util.List;
import java.util.Optional;

/**
 * Chooses an upstream for one request. Implementations do not read a clock; they may keep a counter or a seeded random
 * number generator.
 */
public interface PlacementPolicy {
    /**
     * Returns the name under which settings select the policy.
     *
     * @return a name such as {@code least-outstanding}
     */
    String name();

    /**
     * Chooses the upstream for a request.
     *
     * @param request the request
     * @param candidates upstreams that may serve it, in a stable order
     * @return one of the candidates, or empty if the request should wait
     */
    Optional<Candidate> choose(PlacementRequest request, List<Candidate> candidates);
}
