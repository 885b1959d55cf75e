package org.endivehold.relay.crash;

import java.util.List;
import java.util.OptionalDouble;

/**
 * An attempt whose connection ended before its answer was complete, and how far it had come.
 *
 * @param request id of the request's attempt by its caller, for the log
 * @param upstream the start of the upstream that was to answer it
 * @param parts the parts of its prompt that other requests may share
 * @param sentMillis time since it was sent, in milliseconds
 * @param predictedMillis predicted time from sending to the first event, in milliseconds
 * @param answeringMillis time since the first event arrived, in milliseconds; empty if none did
 */
public record LostAttempt(
        String request,
        UpstreamStart upstream,
        List<PromptPart> parts,
        double sentMillis,
        double predictedMillis,
        OptionalDouble answeringMillis) {
    /** Longest time since the first event at which an answer counts as just begun, in milliseconds. */
    private static final double MAX_BEGINNING_MILLIS = 500;
    /** Part of the predicted time to the first event before which an answer has certainly not begun. */
    private static final double MIN_PREDICTED_SHARE = 0.5;

    /** Keeps an immutable copy of the parts. */
    public LostAttempt {
        parts = List.copyOf(parts);
    }

    /**
     * Returns whether the answer may just have begun when the connection ended. A prompt that crashes its upstream does
     * so at that moment; other requests at the same upstream are mostly earlier or later.
     */
    public boolean wasBeginning() {
        if (answeringMillis.isPresent()) {
            return answeringMillis.getAsDouble() < MAX_BEGINNING_MILLIS;
        }
        return sentMillis >= MIN_PREDICTED_SHARE * predictedMillis;
    }
}
