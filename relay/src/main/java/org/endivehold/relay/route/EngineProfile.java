package org.endivehold.relay.route;

/**
 * Speed and capacity of the engines of a service, as stated by the operator.
 *
 * @param slots requests that an engine runs concurrently
 * @param memoryTokens capacity of the KV cache of an engine, in tokens
 * @param stepsPerPass steps per pass while at least one request generates output
 * @param stepMillis base time of a step
 * @param perSequenceMillis time that each generating request adds to a step
 * @param contextMillisPerThousandTokens time that each thousand tokens of the generating requests' context add to a
 *     step
 * @param prefillTokensPerMillis prompt tokens prefilled per millisecond, without the cost of token pairs
 * @param pairMillisPerMillion prefill time per million pairs of a prompt token and an earlier token
 * @param prefillChunkTokens largest number of prompt tokens that are prefilled in one step
 */
public record EngineProfile(
        int slots,
        long memoryTokens,
        int stepsPerPass,
        double stepMillis,
        double perSequenceMillis,
        double contextMillisPerThousandTokens,
        double prefillTokensPerMillis,
        double pairMillisPerMillion,
        int prefillChunkTokens) {

    /**
     * Predicts the prefill time of one engine if a prompt is divided equally among several.
     *
     * @param tokens length of the whole prompt
     * @param parts number of engines among which the prompt is divided
     * @return prefill time in milliseconds
     */
    public double prefillMillis(long tokens, int parts) {
        double millionPairs = (double) tokens * tokens / 2 / 1e6;
        return (tokens / prefillTokensPerMillis + millionPairs * pairMillisPerMillion) / parts;
    }

    /**
     * Predicts the duration of a pass that prefills no prompt.
     *
     * @param decodingRequests number of requests that generate output
     * @param contextTokens sum of the context lengths of these requests, in tokens
     * @return duration in milliseconds; that of one step if no request generates output
     */
    public double passMillis(int decodingRequests, double contextTokens) {
        double step = stepMillis
                + decodingRequests * perSequenceMillis
                + contextTokens / 1000 * contextMillisPerThousandTokens;
        return decodingRequests == 0 ? step : step * stepsPerPass;
    }
}
