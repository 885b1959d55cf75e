package org.endivehold.relay.schedule;

import java.util.Set;
import org.endivehold.relay.engine.JobId;
import org.endivehold.relay.engine.PromptNeed;

/**
 * Asks a scheduler for engines for one generation request.
 *
 * @param id id of the request at the engines
 * @param service the service whose engines may serve it
 * @param need its size, targets and remaining time when it was submitted
 * @param avoided engines at which it has failed and which are not chosen again
 * @param coldAllowed cold engines to which the submitting daemon may send a request now
 * @param waits whether it may wait for engines to come free; otherwise it is refused if no engines suit it at once
 */
public record EngineRequest(
        JobId id, String service, PromptNeed need, Set<String> avoided, Set<String> coldAllowed, boolean waits) {
    /** Returns the same request some milliseconds later. */
    EngineRequest after(double millis) {
        return new EngineRequest(id, service, need.after(millis), avoided, coldAllowed, waits);
    }

    /** Keeps immutable copies of the sets. */
    public EngineRequest {
        avoided = Set.copyOf(avoided);
        coldAllowed = Set.copyOf(coldAllowed);
    }
}
