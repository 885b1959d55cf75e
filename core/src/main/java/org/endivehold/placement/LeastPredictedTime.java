package org.endivehold.placement;

import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Chooses the candidate with the shortest predicted time to first token.
 *
 * <p>The prediction adds the prompt tokens that wait at the upstream and those of the request, without the tokens
 * expected in its prefix cache, divides them by the upstream's prefill rate, and adds the round-trip time. Slots and
 * memory are not considered, because every candidate has room. Candidates within {@link #TIE_MILLIS} of the best count
 * as equal. Among these the one with the fewest streams of this daemon is chosen, then one at random, so that daemons
 * that see the same reports do not all choose the same upstream.
 *
 * <p>Only candidates on which this daemon has at most {@link #LOAD_FACTOR} times the mean number of streams, the new
 * one included, are considered, as in consistent hashing with bounded loads. A daemon learns late what other daemons
 * send, so several may prefer the same upstream, mostly because of its cached prefixes. The bound on each daemon keeps
 * them from overloading it together.
 *
 * <p>Example: an upstream with 8,000 tokens ahead and a rate of 20,000 tokens per second is predicted to send the first
 * token for a prompt of 2,000 tokens after 500 ms. An idle upstream with the same rate and a round trip of 100 ms is
 * predicted to take 200 ms and is chosen.
 */
public final class LeastPredictedTime implements PlacementPolicy {
    /** Name of the policy in settings. */
    public static final String NAME = "least-predicted-time";

    /** Largest difference from the best prediction at which a candidate counts as equal, in milliseconds. */
    public static final double TIE_MILLIS = 2.0;

    /** Largest number of this daemon's streams on a candidate, as a multiple of the mean over all candidates. */
    public static final double LOAD_FACTOR = 1.25;

    private static final double MILLIS_PER_SECOND = 1000.0;

    private final UniformRandomProvider random;

    /**
     * Creates a policy.
     *
     * @param random source of random numbers for ties
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
        return chooseShortest(request, withinLoadBound(candidates));
    }

    private static List<Candidate> withinLoadBound(List<Candidate> candidates) {
        double streams = 1 + candidates.stream().mapToInt(Candidate::streams).sum();
        double maxStreams = Math.ceil(LOAD_FACTOR * streams / Math.max(1, candidates.size()));
        return candidates.stream().filter(c -> c.streams() < maxStreams).toList();
    }

    private Optional<Candidate> chooseShortest(PlacementRequest request, List<Candidate> candidates) {
        double shortestPrediction = candidates.stream()
                .mapToDouble(c -> predictedMillis(request, c))
                .min()
                .orElse(0);
        Candidate best = null;
        int ties = 0;
        for (Candidate candidate : candidates) {
            if (predictedMillis(request, candidate) > shortestPrediction + TIE_MILLIS) {
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
     * @param candidate the upstream that would serve it
     * @return time from sending to the first token, in milliseconds
     */
    public static double predictedMillis(PlacementRequest request, Candidate candidate) {
        long uncachedTokens = Math.max(0, request.promptTokens() - candidate.cachedTokens());
        double tokens = (double) candidate.prefillTokensAhead() + uncachedTokens;
        double rate = Math.max(1.0, candidate.prefillTokensPerSecond());
        return tokens / rate * MILLIS_PER_SECOND + candidate.roundTripMillis();
    }
}
