package org.endivehold.bench.caller;

import org.endivehold.bench.workload.Arrival;

/**
 * What the caller of one request saw. Times are counted from when the request was due, so that a late sender cannot
 * hide a wait.
 *
 * @param arrival the request
 * @param outcome how it ended
 * @param sentMillis when it was sent, in milliseconds
 * @param firstMillis when the first text arrived, in milliseconds; negative if none did
 * @param endMillis when it ended, in milliseconds
 * @param error word of the problem, empty if none
 * @param reattached how often the caller fetched the rest elsewhere
 * @param work hash of the prompt or key of the call, as the stand-ins' log has it
 */
public record CallResult(
        Arrival arrival,
        Outcome outcome,
        double sentMillis,
        double firstMillis,
        double endMillis,
        String error,
        int reattached,
        String work) {}
