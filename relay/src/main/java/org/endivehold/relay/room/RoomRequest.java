package org.endivehold.relay.room;

import org.endivehold.relay.engine.JobId;
import org.endivehold.relay.engine.PromptNeed;
import org.endivehold.relay.engine.StartRule;
import org.endivehold.relay.route.EngineProfile;
import org.endivehold.relay.route.TrafficClass;

/**
 * A waiting request for which engines were searched and not found.
 *
 * @param id id of the request
 * @param service the service whose engines may serve it
 * @param need its size and targets, with the time that has passed until now
 * @param profile profile of the engines
 */
public record RoomRequest(JobId id, String service, PromptNeed need, EngineProfile profile) {
    /**
     * Share of one engine's memory up to which a request gets no claim: the end of one or two other requests makes room
     * for it.
     */
    private static final double SMALL_MEMORY_SHARE = 0.2;

    /** Returns whether room is claimed for such a request: it is large, and its service tells requests apart. */
    public boolean mayClaim() {
        boolean large = need.memoryTokens() > SMALL_MEMORY_SHARE * profile.memoryTokens();
        return large && !need.traffic().equals(TrafficClass.DEFAULT);
    }

    /** Returns the time after which starting it is of no use, in milliseconds. */
    double latestStart(double now) {
        return now + StartRule.maxWaitMillis(profile.prefillMillis(need.promptTokens(), 1), need);
    }
}
