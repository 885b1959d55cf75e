package org.endivehold.relay.engine;

import org.endivehold.relay.route.TrafficClass;

/**
 * The properties of a request on which its placement depends: its size, its latency targets and the time it has left.
 *
 * @param promptTokens length of the prompt
 * @param outputTokens maximum number of tokens of the answer
 * @param firstEventTargetMillis target for the time to the next event, counted from {@code elapsedMillis} ago
 * @param gapTargetMillis target for the gap between events
 * @param elapsedMillis time that the caller has already waited for the next event
 * @param remainingMillis time left until the answer has to be complete
 * @param traffic whose request it is and how urgent it is
 */
public record PromptNeed(
        long promptTokens,
        long outputTokens,
        double firstEventTargetMillis,
        double gapTargetMillis,
        double elapsedMillis,
        double remainingMillis,
        TrafficClass traffic) {
    /** Shortest silence after which callers disconnect, in milliseconds, as the platform documents for requests. */
    private static final double MIN_CALLER_SILENCE_MILLIS = 2_000;
    /** Silence after which callers disconnect, in targets for the first event. */
    private static final double SILENCE_FIRST_EVENT_TARGETS = 4;
    /** Silence after which callers disconnect, in targets for the gap between events. */
    private static final double SILENCE_GAP_TARGETS = 8;
    /** Part of that silence that is used; the rest covers network delay to the caller and prediction errors. */
    private static final double USABLE_SILENCE_SHARE = 0.8;

    /** Creates the properties of a request of the default traffic class. */
    public PromptNeed(
            long promptTokens,
            long outputTokens,
            double firstEventTargetMillis,
            double gapTargetMillis,
            double elapsedMillis,
            double remainingMillis) {
        this(
                promptTokens,
                outputTokens,
                firstEventTargetMillis,
                gapTargetMillis,
                elapsedMillis,
                remainingMillis,
                TrafficClass.DEFAULT);
    }

    /** Returns the same request in another traffic class. */
    public PromptNeed withTraffic(TrafficClass other) {
        return new PromptNeed(
                promptTokens,
                outputTokens,
                firstEventTargetMillis,
                gapTargetMillis,
                elapsedMillis,
                remainingMillis,
                other);
    }

    /** Returns the cost of serving the request late, relative to a very short one of the lowest urgency. */
    public double weight() {
        return EngineJob.weight(promptTokens, traffic);
    }

    /** Returns the same request some milliseconds later. */
    public PromptNeed after(double millis) {
        return new PromptNeed(
                promptTokens,
                outputTokens,
                firstEventTargetMillis,
                gapTargetMillis,
                elapsedMillis + millis,
                remainingMillis - millis,
                traffic);
    }

    /** Returns the memory that the request takes, in tokens. */
    public long memoryTokens() {
        return promptTokens + outputTokens;
    }

    /** Returns the silence after which a caller disconnects, less a safety margin, in milliseconds. */
    public double maxSilenceMillis() {
        double silence =
                Math.max(SILENCE_FIRST_EVENT_TARGETS * firstEventTargetMillis, SILENCE_GAP_TARGETS * gapTargetMillis);
        return USABLE_SILENCE_SHARE * Math.max(MIN_CALLER_SILENCE_MILLIS, silence);
    }

    /** Returns the time from now within which the next event has to come to be of any use, in milliseconds. */
    public double eventBudgetMillis() {
        return Math.min(maxSilenceMillis() - elapsedMillis, remainingMillis);
    }
}
