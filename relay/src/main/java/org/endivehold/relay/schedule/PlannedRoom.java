package org.endivehold.relay.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.endivehold.relay.engine.EngineCandidate;
import org.endivehold.relay.engine.EngineRoom;
import org.endivehold.relay.engine.JobId;
import org.endivehold.relay.engine.JobTracker;
import org.endivehold.relay.engine.PromptNeed;
import org.endivehold.relay.room.ClaimEnd;
import org.endivehold.relay.room.ClaimListener;
import org.endivehold.relay.room.ClaimedRoom;
import org.endivehold.relay.room.RoomPlanner;
import org.endivehold.relay.room.RoomRequest;

/** Keeps room for large waiting requests as a {@link RoomPlanner} decides from the tracked jobs. */
final class PlannedRoom implements RoomClaims {
    private final JobTracker tracker;
    private final CandidateSource source;
    private final RoomPlanner planner;
    /** The requests that have claims, by service. */
    private final Map<String, WaitingRequest> claimants = new HashMap<>();

    /** Returns the engines that may be chosen for a request. */
    interface CandidateSource {
        List<EngineCandidate> candidates(WaitingRequest entry);
    }

    PlannedRoom(JobTracker tracker, CandidateSource source, ClaimListener listener) {
        this.tracker = tracker;
        this.source = source;
        this.planner = new RoomPlanner(listener);
    }

    @Override
    public List<EngineCandidate> available(EngineRequest request, List<EngineCandidate> candidates, double now) {
        if (!claimants.containsKey(request.service())) {
            return candidates;
        }
        List<EngineCandidate> available = new ArrayList<>(candidates.size());
        for (EngineCandidate candidate : candidates) {
            available.add(
                    planner.withholds(request.service(), request.id(), candidate.id())
                            ? lessClaimed(request, candidate, now)
                            : candidate);
        }
        return available;
    }

    private EngineCandidate lessClaimed(EngineRequest request, EngineCandidate candidate, double now) {
        Optional<EngineRoom> room = tracker.room(candidate.id(), now);
        if (room.isEmpty()) {
            return candidate;
        }
        double end = tracker.predictedEnd(candidate.id(), request.id(), request.need(), candidate.slowdown(), now);
        ClaimedRoom withheld = planner.withheld(request.service(), request.id(), room.get(), end);
        return candidate.without(withheld.tokens(), withheld.slots());
    }

    @Override
    public boolean mayClaim(WaitingRequest entry) {
        return roomRequest(entry, entry.request().need()).mayClaim();
    }

    private static RoomRequest roomRequest(WaitingRequest entry, PromptNeed need) {
        return new RoomRequest(entry.id(), entry.request().service(), need, entry.profile());
    }

    @Override
    public List<JobId> claimants() {
        return claimants.values().stream().map(WaitingRequest::id).toList();
    }

    @Override
    public boolean turnEnded(String service, Optional<WaitingRequest> firstUnplaced, double now) {
        review(service, now);
        return firstUnplaced
                .filter(entry -> !entry.equals(claimants.get(service)))
                .map(entry -> plan(entry, now))
                .orElse(false);
    }

    private void review(String service, double now) {
        WaitingRequest claimant = claimants.get(service);
        if (claimant != null) {
            planner.review(roomRequest(claimant, claimant.need(now)), rooms(claimant, now), now);
            if (!planner.hasClaim(claimant.id())) {
                claimants.remove(service);
            }
        }
    }

    /** Plans room for a request; returns whether it should be refused. */
    private boolean plan(WaitingRequest entry, double now) {
        RoomPlanner.Decision decision = planner.plan(roomRequest(entry, entry.need(now)), rooms(entry, now), now);
        if (planner.hasClaim(entry.id())) {
            claimants.put(entry.request().service(), entry);
        }
        return decision == RoomPlanner.Decision.REFUSE;
    }

    private List<EngineRoom> rooms(WaitingRequest entry, double now) {
        return source.candidates(entry).stream()
                .flatMap(candidate -> tracker.room(candidate.id(), now).stream())
                .toList();
    }

    @Override
    public void removed(JobId id, double now) {
        ClaimEnd reason = tracker.contains(id) ? ClaimEnd.PLACED : ClaimEnd.NOT_WAITING;
        planner.requestEnded(id, reason, now);
        claimants.values().removeIf(entry -> entry.id().equals(id));
    }
}
