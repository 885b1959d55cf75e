package org.endivehold.wire;

import java.util.List;

/**
 * Response to {@link TraceQuery}: the decisions of one daemon about a request.
 *
 * @param events the decisions in chronological order; empty if the daemon has no trace of the request
 */
public record TraceAnswer(List<Event> events) implements Message {
    /**
     * One decision.
     *
     * @param atMillis monotonic clock of that daemon in milliseconds; not comparable between daemons
     * @param step name of the decision
     * @param detail further data as key=value pairs
     */
    public record Event(long atMillis, String step, String detail) {}
}
