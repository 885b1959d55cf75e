package org.endivehold.bench.measure;

/** Model of an idle engine with an empty prefix cache. */
@FunctionalInterface
public interface IdleEngine {
    /**
     * Returns the time to first token.
     *
     * @param promptTokens length of the prompt in tokens
     * @return milliseconds
     */
    double firstTokenMillis(long promptTokens);
}
