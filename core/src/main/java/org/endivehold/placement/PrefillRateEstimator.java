package org.endivehold.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.endivehold.misc.UpstreamName;

/**
 * Learns the prefill rate of each upstream from the time between sending a prompt and its first token.
 *
 * <p>A sample is the tokens that had to be prefilled over the time that it took; the estimate is their exponentially
 * weighted mean, kept between a quarter and four times the nominal rate, so that a wrong count of the tokens ahead
 * cannot lead it far astray.
 */
public final class PrefillRateEstimator {
    private static final double WEIGHT = 0.1;
    private static final double BOUND = 4.0;
    private static final long LEAST_TOKENS = 500;
    private static final double LEAST_MILLIS = 5.0;
    private static final double MILLIS_PER_SECOND = 1000.0;

    private final Map<UpstreamName, Double> rates = new HashMap<>();

    /** Creates an estimator that knows nothing. */
    public PrefillRateEstimator() {}

    /**
     * Takes a sample; samples too small to tell anything are ignored.
     *
     * @param upstream the upstream
     * @param nominal its nominal rate in tokens per second
     * @param tokens tokens that were prefilled before the first token came
     * @param millis time from sending to the first token, less the round trip, in milliseconds
     */
    public void sample(UpstreamName upstream, double nominal, long tokens, double millis) {
        if (tokens < LEAST_TOKENS || millis < LEAST_MILLIS) {
            return;
        }
        double rate = tokens / millis * MILLIS_PER_SECOND;
        double mean = rate(upstream, nominal);
        double next = mean + WEIGHT * (rate - mean);
        rates.put(upstream, Math.max(nominal / BOUND, Math.min(nominal * BOUND, next)));
    }

    /**
     * Returns the estimate.
     *
     * @param upstream the upstream
     * @param nominal its nominal rate in tokens per second
     * @return tokens per second
     */
    public double rate(UpstreamName upstream, double nominal) {
        return rates.getOrDefault(upstream, nominal);
    }

    /**
     * Forgets upstreams that are no longer configured.
     *
     * @param upstreams those that are
     */
    public void retain(Set<UpstreamName> upstreams) {
        rates.keySet().retainAll(upstreams);
    }
}
