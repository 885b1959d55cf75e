package org.endivehold.upstream.protocol;

import java.util.List;
import org.endivehold.upstream.CacheEvent;

/**
 * Response body of {@code GET /control/cache-events}.
 *
 * @param events events after the requested sequence number, in order
 */
public record CacheEventsBody(List<CacheEvent> events) {
    /** Makes a defensive copy of the list. */
    public CacheEventsBody {
        events = List.copyOf(events);
    }
}
