package org.endivehold.relay.crash;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;

/**
 * An attempt whose connection ended before its answer was complete, and how far it had come.
 *
 * @param request id of the request's attempt by its caller, for the log
 * @param upstream the start of the upstream that was to answer it
 * @param whole what its repeats have in common
 * @param parts the parts of its prompt that other requests may share
 * @param sentMillis time since it was sent, in milliseconds
 * @param predictedMillis predicted time from sending to the first event, in milliseconds
 * @param answeringMillis time since the first event arrived, in milliseconds; empty if none did
 */
public record LostAttempt(
        String request,
        UpstreamStart upstream,
        RequestTrait whole,
        List<RequestTrait> parts,
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

    /** Returns all traits of the request. */
    public List<RequestTrait> traits() {
        List<RequestTrait> traits = new ArrayList<>(parts);
        traits.add(whole);
        return traits;
    }

    /**
     * Returns the traits that may have ended the upstream. A whole request may do so as soon as it is run, a part of a
     * prompt when its answer begins.
     */
    public List<RequestTrait> suspects() {
        List<RequestTrait> suspects = new ArrayList<>();
        if (answeringMillis.isEmpty() || answeringMillis.getAsDouble() < MAX_BEGINNING_MILLIS) {
            suspects.add(whole);
        }
        if (wasBeginning()) {
            suspects.addAll(parts);
        }
        return suspects;
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
