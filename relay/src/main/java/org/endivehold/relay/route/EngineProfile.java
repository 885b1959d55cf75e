package org.endivehold.relay.route;

/**
 * How fast the engines of a service are and what they hold, as the operator states it.
 *
 * @param slots requests that an engine runs at once
 * @param memoryTokens tokens of context that fit into an engine
 * @param stride steps of a pass while a request is writing
 * @param stepMillis time of a step
 * @param perWriterMillis time that each writing request adds to a step
 * @param contextMillisPerThousand time that each thousand tokens of the writers' context add to a step
 * @param readTokensPerMillis prompt tokens read in a millisecond
 * @param pairMillisPerMillion time of a million pairs of a prompt token and an earlier token
 * @param chunkTokens most prompt tokens read in a step
 */
public record EngineProfile(
        int slots,
        long memoryTokens,
        int stride,
        double stepMillis,
        double perWriterMillis,
        double contextMillisPerThousand,
        double readTokensPerMillis,
        double pairMillisPerMillion,
        int chunkTokens) {

    /**
     * Predicts how long one engine reads an equal part of a prompt.
     *
     * @param tokens length of the whole prompt
     * @param parts number of engines that read it together
     * @return milliseconds
     */
    public double readMillis(long tokens, int parts) {
        double millionPairs = (double) tokens * tokens / 2 / 1e6;
        return (tokens / readTokensPerMillis + millionPairs * pairMillisPerMillion) / parts;
    }

    /**
     * Predicts a pass that only writes.
     *
     * @param writers requests that write
     * @param context sum of their contexts in tokens
     * @return milliseconds; the length of one step if nobody writes
     */
    public double passMillis(int writers, double context) {
        double step = stepMillis + writers * perWriterMillis + context / 1000 * contextMillisPerThousand;
        return writers == 0 ? step : step * stride;
    }
}
