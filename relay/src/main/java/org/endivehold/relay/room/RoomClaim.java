package org.endivehold.relay.room;

import java.util.Map;
import org.endivehold.relay.engine.JobId;

/**
 * Room that is kept for one waiting request.
 *
 * @param request id of the request
 * @param service the service whose engines are claimed
 * @param dueAt predicted time at which all of the room is free, in milliseconds
 * @param engines the claimed room by engine
 */
public record RoomClaim(JobId request, String service, double dueAt, Map<String, ClaimedRoom> engines) {
    /** Keeps an immutable copy of the map. */
    public RoomClaim {
        engines = Map.copyOf(engines);
    }
}
