package org.endivehold.bench.caller;

import org.endivehold.bench.workload.Arrival;

/**
 * Result of one request as its caller saw it. Times are measured from when the request was due rather than sent, so
 * that a late load generator does not hide waiting time (coordinated omission).
 *
 * @param arrival the request
 * @param outcome how the request ended
 * @param sentMillis time until it was sent, in milliseconds
 * @param firstMillis time to the first text, in milliseconds; negative if none arrived
 * @param endMillis time to the end, in milliseconds
 * @param error error type or description; empty if none
 * @param reattached number of times that the caller reattached to the stream
 * @param work hash of the prompt or idempotency key of the call, as in the log of the stand-ins
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
