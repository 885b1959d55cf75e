package org.endivehold.relay.engine;

/**
 * What the choice of engines has to know of a request.
 *
 * @param promptTokens length of the prompt
 * @param outputTokens most tokens of the answer
 * @param firstAimMillis time to the next event, from {@code elapsedMillis} ago, that is on time
 * @param gapAimMillis pause between events that is on time
 * @param elapsedMillis time that the caller has waited for this event
 * @param remainingMillis time left until the answer has to end
 */
public record PromptNeed(
        long promptTokens,
        long outputTokens,
        double firstAimMillis,
        double gapAimMillis,
        double elapsedMillis,
        double remainingMillis) {
    /** Shortest silence after which callers leave, in milliseconds; the platform's page on requests states it. */
    private static final double LEAST_PATIENCE_MILLIS = 2_000;
    /** Silence after which callers leave, in aims for the first event. */
    private static final double PATIENCE_FIRST_AIMS = 4;
    /** Silence after which callers leave, in aims for pauses. */
    private static final double PATIENCE_GAP_AIMS = 8;
    /**
     * Part of the caller's patience that is used: the last part is the way of the event and what a prediction misses.
     */
    private static final double PATIENCE_SHARE = 0.8;

    /** Returns the same need some time later. */
    public PromptNeed after(double millis) {
        return new PromptNeed(
                promptTokens,
                outputTokens,
                firstAimMillis,
                gapAimMillis,
                elapsedMillis + millis,
                remainingMillis - millis);
    }

    /** Returns the memory that the request needs, in tokens. */
    public long memoryTokens() {
        return promptTokens + outputTokens;
    }

    /** Returns the silence that may pass before a caller leaves, with a margin, in milliseconds. */
    public double patienceMillis() {
        double aims = Math.max(PATIENCE_FIRST_AIMS * firstAimMillis, PATIENCE_GAP_AIMS * gapAimMillis);
        return PATIENCE_SHARE * Math.max(LEAST_PATIENCE_MILLIS, aims);
    }

    /** Returns the time from now in which the next event has to come to be of any use, in milliseconds. */
    public double eventBudgetMillis() {
        return Math.min(patienceMillis() - elapsedMillis, remainingMillis);
    }
}
