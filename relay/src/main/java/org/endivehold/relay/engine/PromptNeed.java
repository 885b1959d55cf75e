package org.endivehold.relay.engine;

/**
 * What the choice of engines has to know of a request.
 *
 * @param promptTokens length of the prompt
 * @param outputTokens most tokens of the answer
 * @param firstAimMillis time to the first token, from the caller's request, that is on time
 * @param gapAimMillis pause between events that is on time
 * @param elapsedMillis time that has passed since the caller's request
 */
public record PromptNeed(
        long promptTokens, long outputTokens, double firstAimMillis, double gapAimMillis, double elapsedMillis) {
    /** Returns the memory that the request needs, in tokens. */
    public long memoryTokens() {
        return promptTokens + outputTokens;
    }
}
