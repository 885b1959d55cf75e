package org.endivehold.admission;

/**
 * Estimates the time per generated token, and from it the least time that a request takes once it has started.
 *
 * <p>Predictions are deliberately too short rather than too long, because requests are refused on their basis: an
 * answer may end before its maximum length, and an idle engine is faster than the average.
 */
public final class ServiceTimeEstimator {
    /** Weight of a new sample in the moving average. */
    private static final double SAMPLE_WEIGHT = 0.05;
    /** Factor by which predictions are shortened. */
    private static final double UNDERESTIMATE_FACTOR = 0.5;

    private static final double MILLIS_PER_SECOND = 1000.0;

    private double millisPerToken;

    /** Creates an estimator without samples, which predicts that generating an answer takes no time. */
    public ServiceTimeEstimator() {}

    /**
     * Adds the sample of a complete answer.
     *
     * @param tokens number of tokens after the first; the sample is ignored if there are none
     * @param millis time from the first to the last token, in milliseconds
     */
    public void answered(long tokens, long millis) {
        if (tokens <= 0) {
            return;
        }
        double sample = (double) millis / tokens;
        millisPerToken = millisPerToken == 0 ? sample : millisPerToken + SAMPLE_WEIGHT * (sample - millisPerToken);
    }

    /**
     * Predicts the least time from the start of a request to its end.
     *
     * @param prefillTokens prompt tokens to prefill
     * @param prefillTokensPerSecond prefill rate of the fastest upstream; 0 if unknown
     * @param answerTokens maximum length of the answer in tokens
     * @return duration in milliseconds
     */
    public long leastMillis(long prefillTokens, double prefillTokensPerSecond, long answerTokens) {
        double prefill = prefillTokensPerSecond <= 0 ? 0 : prefillTokens / prefillTokensPerSecond * MILLIS_PER_SECOND;
        return (long) (UNDERESTIMATE_FACTOR * (prefill + answerTokens * millisPerToken));
    }
}
