package org.endivehold.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.endivehold.misc.UpstreamName;

/**
 * Estimates the prefill rate of each upstream from the time between sending a prompt and receiving its first token.
 *
 * <p>A sample is the number of tokens to prefill divided by that time. The estimate is the exponentially weighted
 * moving average of the samples. It is kept between a quarter of and four times the nominal rate, which limits the
 * error if the tokens ahead were counted wrong.
 */
public final class PrefillRateEstimator {
    /** Weight of a new sample in the moving average. */
    private static final double SAMPLE_WEIGHT = 0.1;
    /** Largest factor between the estimate and the nominal rate, in either direction. */
    private static final double MAX_DEVIATION_FACTOR = 4.0;

    private static final long MIN_SAMPLE_TOKENS = 500;
    private static final double MIN_SAMPLE_MILLIS = 5.0;
    private static final double MILLIS_PER_SECOND = 1000.0;

    private final Map<UpstreamName, Double> rates = new HashMap<>();

    /** Creates an estimator without samples, which returns the nominal rates. */
    public PrefillRateEstimator() {}

    /**
     * Adds a sample; samples of too few tokens or too short a time to be meaningful are ignored.
     *
     * @param upstream the upstream
     * @param nominal its nominal rate in tokens per second
     * @param tokens number of tokens that were prefilled before the first token arrived
     * @param millis time from sending to the first token, without the round trip, in milliseconds
     */
    public void sample(UpstreamName upstream, double nominal, long tokens, double millis) {
        if (tokens < MIN_SAMPLE_TOKENS || millis < MIN_SAMPLE_MILLIS) {
            return;
        }
        double rate = tokens / millis * MILLIS_PER_SECOND;
        double mean = rate(upstream, nominal);
        double next = mean + SAMPLE_WEIGHT * (rate - mean);
        rates.put(upstream, Math.max(nominal / MAX_DEVIATION_FACTOR, Math.min(nominal * MAX_DEVIATION_FACTOR, next)));
    }

    /**
     * Returns the estimated prefill rate.
     *
     * @param upstream the upstream
     * @param nominal its nominal rate in tokens per second
     * @return the estimate in tokens per second, or the nominal rate if there is no sample
     */
    public double rate(UpstreamName upstream, double nominal) {
        return rates.getOrDefault(upstream, nominal);
    }

    /**
     * Drops the estimates of upstreams that are no longer configured.
     *
     * @param upstreams names of all configured upstreams
     */
    public void retain(Set<UpstreamName> upstreams) {
        rates.keySet().retainAll(upstreams);
    }
}
