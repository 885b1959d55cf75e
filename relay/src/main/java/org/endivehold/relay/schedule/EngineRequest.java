package org.endivehold.relay.schedule;

import java.util.Set;
import org.endivehold.relay.engine.JobId;
import org.endivehold.relay.engine.PromptNeed;
import org.endivehold.relay.route.TrafficClass;

/**
 * Asks a scheduler for engines for one generation request.
 *
 * @param id id of the request at the engines
 * @param service the service whose engines may serve it
 * @param need its size, targets and remaining time when it was submitted
 * @param excluded engines at which it has failed and which are not chosen again
 * @param allowedCold cold engines to which the submitting daemon may send a request now
 * @param mayWait whether it may wait for engines to become free; otherwise it is refused if no engines suit it at once
 */
public record EngineRequest(
        JobId id, String service, PromptNeed need, Set<String> excluded, Set<String> allowedCold, boolean mayWait) {
    /** Returns the same request some milliseconds later. */
    EngineRequest after(double millis) {
        return new EngineRequest(id, service, need.after(millis), excluded, allowedCold, mayWait);
    }

    /** Returns the same request in another traffic class. */
    public EngineRequest withTraffic(TrafficClass traffic) {
        return new EngineRequest(id, service, need.withTraffic(traffic), excluded, allowedCold, mayWait);
    }

    /** Keeps immutable copies of the sets. */
    public EngineRequest {
        excluded = Set.copyOf(excluded);
        allowedCold = Set.copyOf(allowedCold);
    }
}
