package org.endivehold.bench.measure;

/** The time of an idle engine with an empty cache. */
@FunctionalInterface
public interface BareEngine {
    /**
     * Returns the time to first token.
     *
     * @param promptTokens length of the prompt
     * @return milliseconds
     */
    double firstTokenMillis(long promptTokens);
}
