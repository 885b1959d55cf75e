package org.endivehold.upstream.protocol;

import java.util.List;
import org.endivehold.upstream.CacheEvent;

/**
 * Answer to {@code GET /control/cache-events}.
 *
 * @param events events after the number that was asked for, in order
 */
public record CacheEventsBody(List<CacheEvent> events) {
    /** Copies the events. */
    public CacheEventsBody {
        events = List.copyOf(events);
    }
}
