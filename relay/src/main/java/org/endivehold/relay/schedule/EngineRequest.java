package org.endivehold.relay.schedule;

import java.util.Set;
import org.endivehold.relay.engine.JobId;
import org.endivehold.relay.engine.PromptNeed;

/**
 * A wish for engines.
 *
 * @param id names the request at the engines
 * @param service the service whose engines may serve it
 * @param need what it needs, at the time of the wish
 * @param avoided engines at which it has failed
 * @param coldAllowed cold engines to which the asking daemon may send now
 * @param waits whether it waits for engines to come free; otherwise it is refused at once
 */
public record EngineRequest(
        JobId id, String service, PromptNeed need, Set<String> avoided, Set<String> coldAllowed, boolean waits) {
    /** Returns the same wish some time later. */
    EngineRequest after(double millis) {
        return new EngineRequest(id, service, need.after(millis), avoided, coldAllowed, waits);
    }

    /** Keeps immutable copies of the sets. */
    public EngineRequest {
        avoided = Set.copyOf(avoided);
        coldAllowed = Set.copyOf(coldAllowed);
    }
}
