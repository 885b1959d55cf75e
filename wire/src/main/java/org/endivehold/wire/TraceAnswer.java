package org.endivehold.wire;

import java.util.List;

/**
 * The decisions of one daemon for a request.
 *
 * @param events the decisions in order; empty if the request is not remembered
 */
public record TraceAnswer(List<Event> events) implements Message {
    /**
     * One decision.
     *
     * @param atMillis monotonic time of that daemon in milliseconds
     * @param step what was decided
     * @param detail key=value pairs
     */
    public record Event(long atMillis, String step, String detail) {}
}
