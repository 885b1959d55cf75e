package org.endivehold.placement;

import java.util.List;
import java.util.Optional;

/**
 * Chooses an upstream for one request. Implementations hold no clock; they may hold a counter or a seeded generator.
 */
public interface PlacementPolicy {
    /**
     * Returns the name under which settings select the policy.
     *
     * @return a word such as {@code least-outstanding}
     */
    String name();

    /**
     * Chooses.
     *
     * @param request the request
     * @param candidates upstreams that may serve it, in a stable order
     * @return one of the candidates, or empty if the request had better wait
     */
    Optional<Candidate> choose(PlacementRequest request, List<Candidate> candidates);
}
