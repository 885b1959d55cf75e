package org.endivehold.admission;

/**
 * Learns how long a token of an answer takes and predicts from it the least time that a request needs once it has
 * started. Predictions err on the short side, since a request is refused on them: an answer may end before its longest
 * length, and an idle engine is faster than the mean.
 */
public final class ServiceTimeEstimator {
    private static final double WEIGHT = 0.05;
    private static final double OPTIMISM = 0.5;
    private static final double MILLIS_PER_SECOND = 1000.0;

    private double millisPerToken;

    /** Creates an estimator that expects answers in no time. */
    public ServiceTimeEstimator() {}

    /**
     * Takes a complete answer.
     *
     * @param tokens tokens after the first
     * @param millis time from the first to the last token, in milliseconds
     */
    public void answered(long tokens, long millis) {
        if (tokens <= 0) {
            return;
        }
        double sample = (double) millis / tokens;
        millisPerToken = millisPerToken == 0 ? sample : millisPerToken + WEIGHT * (sample - millisPerToken);
    }

    /**
     * Predicts the least time from the start of a request to its end.
     *
     * @param prefillTokens prompt tokens to prefill
     * @param prefillTokensPerSecond rate of the fastest upstream
     * @param answerTokens longest answer
     * @return time in milliseconds
     */
    public long leastMillis(long prefillTokens, double prefillTokensPerSecond, long answerTokens) {
        double prefill = prefillTokensPerSecond <= 0 ? 0 : prefillTokens / prefillTokensPerSecond * MILLIS_PER_SECOND;
        return (long) (OPTIMISM * (prefill + answerTokens * millisPerToken));
    }
}
