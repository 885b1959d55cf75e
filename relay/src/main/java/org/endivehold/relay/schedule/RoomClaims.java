package org.endivehold.relay.schedule;

import java.util.List;
import java.util.Optional;
import org.endivehold.relay.engine.EngineCandidate;
import org.endivehold.relay.engine.JobId;

/** Room at engines that is kept free for a waiting request, and is not available to others. */
public interface RoomClaims {
    /** No room is kept free for anyone. */
    RoomClaims NONE = new RoomClaims() {
        @Override
        public List<EngineCandidate> available(EngineRequest request, List<EngineCandidate> candidates, double now) {
            return candidates;
        }

        @Override
        public void turnEnded(String service, Optional<WaitingRequest> firstUnplaced, double now) {}

        @Override
        public void removed(JobId id) {}
    };

    /**
     * Returns the candidates for a request, less the room that is kept free for other requests.
     *
     * @param request the request that is about to be placed
     * @param candidates the engines that may be chosen for it
     * @param now time in milliseconds
     */
    List<EngineCandidate> available(EngineRequest request, List<EngineCandidate> candidates, double now);

    /**
     * Notes the end of a turn of the waiting requests.
     *
     * @param service a service that had waiting requests at the beginning of the turn
     * @param firstUnplaced the first request in order for which the turn found no engines
     * @param now time in milliseconds
     */
    void turnEnded(String service, Optional<WaitingRequest> firstUnplaced, double now);

    /** Notes that a request is not waiting any more: it was placed, refused or withdrawn. */
    void removed(JobId id);
}
