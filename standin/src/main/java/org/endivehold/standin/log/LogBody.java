package org.endivehold.standin.log;

import java.util.List;

/**
 * Body of the answer to {@code GET /log}.
 *
 * @param dropped number of events that did not fit into the log
 * @param events the events; each with a JSON field that names its type
 */
public record LogBody(long dropped, List<StandinEvent> events) {
    /** Copies the list of events. */
    public LogBody {
        events = List.copyOf(events);
    }
}
