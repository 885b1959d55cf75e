package org.endivehold.relay.schedule;

import java.util.List;
import java.util.Optional;
import org.endivehold.relay.engine.EngineCandidate;
import org.endivehold.relay.engine.JobId;

/** Room at engines that is kept free for a waiting request, and is not available to others. */
public interface RoomClaims {
    /**
     * Returns the candidates for a request, less the room that is kept free for other requests.
     *
     * @param request the request that is about to be placed
     * @param candidates the engines that may be chosen for it
     * @param now time in milliseconds
     */
    List<EngineCandidate> available(EngineRequest request, List<EngineCandidate> candidates, double now);

    /** Returns whether room may be kept for such a request. */
    boolean mayClaim(WaitingRequest entry);

    /** Returns the requests for which room is kept: they are tried before the others, so that it is used when free. */
    List<JobId> claimants();

    /**
     * Notes the end of a turn of the waiting requests.
     *
     * @param service a service that had waiting requests at the beginning of the turn
     * @param firstUnplaced the first request in order that may claim room and for which the turn found no engines
     * @param now time in milliseconds
     * @return whether this request should be refused, since room for it comes free too late
     */
    boolean turnEnded(String service, Optional<WaitingRequest> firstUnplaced, double now);

    /** Notes that a request is not waiting any more: it was placed, refused or withdrawn. */
    void removed(JobId id, double now);
}
