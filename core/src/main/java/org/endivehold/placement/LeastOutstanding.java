package org.endivehold.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;

/** Baseline for comparison: chooses the candidate with the fewest streams of this daemon, at random among equals. */
public final class LeastOutstanding implements PlacementPolicy {
    /** Name of the policy in settings. */
    public static final String NAME = "least-outstanding";

    private final UniformRandomProvider random;

    /**
     * Creates a policy.
     *
     * @param random source of random numbers for ties
     */
    public LeastOutstanding(UniformRandomProvider random) {
        this.random = random;
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public Optional<Candidate> choose(PlacementRequest request, List<Candidate> candidates) {
        int fewest = candidates.stream().mapToInt(Candidate::streams).min().orElse(Integer.MAX_VALUE);
        List<Candidate> best = new ArrayList<>();
        for (Candidate candidate : candidates) {
            if (candidate.streams() == fewest) {
                best.add(candidate);
            }
        }
        return best.isEmpty() ? Optional.empty() : Optional.of(best.get(random.nextInt(best.size())));
    }
}
