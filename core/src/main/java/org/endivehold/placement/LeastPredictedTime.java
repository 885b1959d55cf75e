package org.endivehold.placement;

import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Takes the candidate whose first token is expected soonest.
 *
 * <p>The expected time is the prompt tokens that wait at the upstream plus the request's own, less those expected in
 * its prefix cache, over the upstream's prefill rate, plus the round trip. Slots and memory are no part of it: a
 * candidate has room by definition. Candidates within {@link #TIE_MILLIS} of the best are equal, and the one with the
 * fewest streams of this daemon is taken, then one by lot, so that daemons that see the same reports do not all choose
 * the same upstream.
 *
 * <p>Only candidates whose streams of this daemon do not exceed {@link #LOAD_FACTOR} times the mean, the new one
 * included, are considered, as in consistent hashing with bounded loads. What other daemons send is known late, so all
 * of them may find the same upstream best, for its cached prefixes above all; the bound keeps each of them, and so all
 * together, from crowding it.
 *
 * <p>Example: an upstream with 8,000 tokens ahead at 20,000 tokens a second answers a prompt of 2,000 tokens after 500
 * ms; one that is idle but 100 ms away after 200 ms; the second is taken.
 */
public final class LeastPredictedTime implements PlacementPolicy {
    /** Name of the policy. */
    public static final String NAME = "least-predicted-time";

    /** Candidates whose predictions differ by no more than this are equal, in milliseconds. */
    public static final double TIE_MILLIS = 2.0;

    /** Most streams on a candidate, as a multiple of the mean over all candidates. */
    public static final double LOAD_FACTOR = 1.25;

    private static final double MILLIS_PER_SECOND = 1000.0;

    private final UniformRandomProvider random;

    /**
     * Creates a policy.
     *
     * @param random breaks ties
     */
    public LeastPredictedTime(UniformRandomProvider random) {
        this.random = random;
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public Optional<Candidate> choose(PlacementRequest request, List<Candidate> candidates) {
        return soonest(request, withinBound(candidates));
    }

    private static List<Candidate> withinBound(List<Candidate> candidates) {
        double streams = 1 + candidates.stream().mapToInt(Candidate::streams).sum();
        double most = Math.ceil(LOAD_FACTOR * streams / Math.max(1, candidates.size()));
        return candidates.stream().filter(c -> c.streams() < most).toList();
    }

    private Optional<Candidate> soonest(PlacementRequest request, List<Candidate> candidates) {
        double soonest = candidates.stream()
                .mapToDouble(c -> predictedMillis(request, c))
                .min()
                .orElse(0);
        Candidate best = null;
        int ties = 0;
        for (Candidate candidate : candidates) {
            if (predictedMillis(request, candidate) > soonest + TIE_MILLIS) {
                continue;
            }
            if (best == null || candidate.streams() < best.streams()) {
                best = candidate;
                ties = 1;
            } else if (candidate.streams() == best.streams() && random.nextInt(++ties) == 0) {
                best = candidate;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Predicts the time to first token.
     *
     * @param request the request
     * @param candidate where it would run
     * @return time from sending to the first token, in milliseconds
     */
    public static double predictedMillis(PlacementRequest request, Candidate candidate) {
        long own = Math.max(0, request.promptTokens() - candidate.cachedTokens());
        double tokens = (double) candidate.prefillTokensAhead() + own;
        double rate = Math.max(1.0, candidate.prefillTokensPerSecond());
        return tokens / rate * MILLIS_PER_SECOND + candidate.distanceMillis();
    }
}
