package org.endivehold.relay.room;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.endivehold.relay.engine.EngineRoom;
import org.endivehold.relay.engine.JobId;

/**
 * Keeps room for a large request that waits, at most one of each service.
 *
 * <p>A request that needs nearly all the memory of an engine, or memory at several engines at once, finds that room
 * only by accident while shorter requests take whatever comes free. The planner predicts from the ends of the running
 * jobs when enough engines have the room, and claims it for that time. Until then others may still use it, but only
 * what does not put off the claim (backfilling):
 *
 * <ul>
 *   <li>A request that is predicted to end before the claim is due may use the claimed room.
 *   <li>Any other request may use what is left at the engine once the claim is due: the memory that is free now and
 *       comes free until then, less the claimed memory; the same for slots.
 * </ul>
 *
 * <p>Example: an engine with a usable memory of 190,000 tokens has 30,000 free, and jobs with 60,000, 50,000 and 50,000
 * tokens end in 1, 2 and 3 s. A request of 130,000 tokens waits. Its room is free in 2 s (30,000 + 60,000 + 50,000), so
 * it claims the engine with that time. A request of 5,000 tokens that ends within 1.5 s starts at once. One of 5,000
 * that runs for 10 s starts too, since 140,000 - 5,000 are enough; a second one fits as well, and a third one goes to
 * another engine. Without the claim they would have taken the 60,000 and the 50,000 as they came free.
 *
 * <p>Only one request of a service has a claim, and keeps it until the claim ends, even if a more urgent request
 * arrives. So requests that need each other's engines never hold a part of what the other needs, and they get their
 * room one after the other. The claim binds nothing at the engines. If ends come later than predicted, no other request
 * gets the claimed room after the due time. A claim that is overdue ends, and a new plan is made with the ends as they
 * are predicted then. A prediction that is wrong can therefore delay requests, but it cannot block an engine for long:
 * a claim lasts until its due time and the grace period at most, and none is made for a time beyond that until which
 * the request may wait.
 *
 * <p>This class decides only; time is a parameter.
 */
public final class RoomPlanner {
    /** Time after the due time at which a claim ends if its request could not be placed, in milliseconds. */
    static final double GRACE_MILLIS = 500;

    private final Map<String, RoomClaim> claims = new HashMap<>();
    /** The waiting requests that were not placed although their claimed room was free. */
    private final Set<JobId> notAdmitted = new HashSet<>();

    private final ClaimListener listener;

    /** Creates a planner without claims. */
    public RoomPlanner(ClaimListener listener) {
        this.listener = listener;
    }

    /** What is to be done with a request for which no engines were found. */
    public enum Decision {
        /** It goes on waiting, with or without a claim. */
        WAIT,
        /** Its room is predicted to come free too late, so it should be refused now. */
        REFUSE
    }

    /**
     * Plans room for the first waiting request in order for which no engines have room, and claims it unless another
     * request of the service has a claim.
     *
     * <p>Nothing is claimed if there is room now, since then it is not for want of room that the request waits, nor for
     * a request that was not placed in room that was kept for it before, nor if the engines that are known would not be
     * enough if all of them were idle.
     *
     * @param request the request
     * @param engines the room at the engines that may be chosen for it
     * @param now time in milliseconds
     * @return whether the request should be refused
     */
    public Decision plan(RoomRequest request, List<EngineRoom> engines, double now) {
        RoomClaim current = claims.get(request.service());
        boolean hasClaim = current != null && current.request().equals(request.id());
        if (hasClaim || notAdmitted.contains(request.id()) || !request.mayClaim()) {
            return Decision.WAIT;
        }
        Optional<RoomClaim> found = new RoomSearch(request, engines, now).earliest();
        if (found.isEmpty() || found.get().dueAt() <= now) {
            return Decision.WAIT;
        }
        if (found.get().dueAt() > request.latestStart(now)) {
            return Decision.REFUSE;
        }
        if (current == null) {
            claims.put(request.service(), found.get());
            listener.made(found.get(), now);
        }
        return Decision.WAIT;
    }

    /**
     * Ends the claim of a waiting request if it is overdue or one of its engines may not be chosen any more. If the
     * room is free and the request was not placed, it waits for another reason, so that it gets no further claim.
     *
     * @param request the request that has the claim
     * @param engines the room at the engines that may be chosen for it
     * @param now time in milliseconds
     */
    public void review(RoomRequest request, List<EngineRoom> engines, double now) {
        RoomClaim claim = claims.get(request.service());
        if (claim == null || !claim.request().equals(request.id())) {
            return;
        }
        Set<String> usable = engines.stream().map(EngineRoom::engine).collect(Collectors.toSet());
        if (!usable.containsAll(claim.engines().keySet())) {
            end(claim, ClaimEnd.ENGINE_GONE, now);
        } else if (now > claim.dueAt() + GRACE_MILLIS) {
            boolean free = new RoomSearch(request, engines, now)
                    .earliest()
                    .filter(found -> found.dueAt() <= now)
                    .isPresent();
            if (free) {
                notAdmitted.add(request.id());
            }
            end(claim, free ? ClaimEnd.NOT_ADMITTED : ClaimEnd.OVERDUE, now);
        }
    }

    /** Ends the claim of a request that does not wait any more; has no effect if it has none. */
    public void requestEnded(JobId id, ClaimEnd reason, double now) {
        notAdmitted.remove(id);
        claims().stream().filter(claim -> claim.request().equals(id)).forEach(claim -> end(claim, reason, now));
    }

    private void end(RoomClaim claim, ClaimEnd reason, double now) {
        claims.remove(claim.service());
        listener.ended(claim, reason, now);
    }

    /** Returns the current claims. */
    public List<RoomClaim> claims() {
        return List.copyOf(claims.values());
    }

    /** Returns whether a request has a claim. */
    public boolean hasClaim(JobId id) {
        return claims.values().stream().anyMatch(claim -> claim.request().equals(id));
    }

    /** Returns whether room at an engine is claimed for another request than the given one. */
    public boolean withholds(String service, JobId request, String engine) {
        RoomClaim claim = claims.get(service);
        return claim != null
                && !claim.request().equals(request)
                && claim.engines().containsKey(engine);
    }

    /**
     * Returns the room at an engine that is not available to a request because of a claim.
     *
     * @param service name of the service
     * @param request id of the request
     * @param room the room at the engine
     * @param predictedEnd time at which the request would end at this engine, in milliseconds
     * @return the room; none if there is no claim, or if it is the request's own
     */
    public ClaimedRoom withheld(String service, JobId request, EngineRoom room, double predictedEnd) {
        if (!withholds(service, request, room.engine())) {
            return ClaimedRoom.NONE;
        }
        RoomClaim claim = claims.get(service);
        double dueAt = claim.dueAt();
        if (predictedEnd <= dueAt) {
            return ClaimedRoom.NONE;
        }
        ClaimedRoom claimed = claim.engines().get(room.engine());
        return new ClaimedRoom(
                Math.max(0, claimed.tokens() - room.tokensReleasedBy(dueAt)),
                Math.max(0, claimed.slots() - room.slotsReleasedBy(dueAt)));
    }
}
