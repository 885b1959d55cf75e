package org.endivehold.placement;

import java.util.List;
import java.util.Optional;

/** Baseline for comparison: chooses the candidates in turn. */
public final class RoundRobin implements PlacementPolicy {
    /** Name of the policy in settings. */
    public static final String NAME = "round-robin";

    private int next;

    /** Creates a policy that begins with the first candidate. */
    public RoundRobin() {}

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public Optional<Candidate> choose(PlacementRequest request, List<Candidate> candidates) {
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        int index = Math.floorMod(next++, candidates.size());
        return Optional.of(candidates.get(index));
    }
}
