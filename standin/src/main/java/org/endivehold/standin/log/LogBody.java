package org.endivehold.standin.log;

import java.util.List;

/**
 * The log as {@code GET /log} returns it.
 *
 * @param dropped events that did not fit
 * @param events the events, each with a field that names its kind
 */
public record LogBody(long dropped, List<StandinEvent> events) {
    /** Copies the events. */
    public LogBody {
        events = List.copyOf(events);
    }
}
