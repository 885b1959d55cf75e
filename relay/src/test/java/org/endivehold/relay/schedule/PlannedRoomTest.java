package org.endivehold.relay.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.endivehold.relay.engine.EngineCandidate;
import org.endivehold.relay.engine.EngineJob;
import org.endivehold.relay.engine.JobId;
import org.endivehold.relay.engine.JobTracker;
import org.endivehold.relay.engine.Placement;
import org.endivehold.relay.engine.PromptNeed;
import org.endivehold.relay.room.ClaimEnd;
import org.endivehold.relay.room.ClaimListener;
import org.endivehold.relay.room.RoomClaim;
import org.endivehold.relay.route.EngineProfile;
import org.endivehold.relay.route.TrafficClass;
import org.junit.jupiter.api.Test;

/** Two engines, each with a job that leaves too little memory for the large request that waits. */
class PlannedRoomTest {
    /** Prefills 100 tokens a millisecond and produces 10 tokens in a pass of 100 ms. */
    private static final EngineProfile PROFILE = new EngineProfile(4, 100_000, 10, 10, 0, 0, 100, 0, 2_000);

    private static final TrafficClass TRAFFIC = new TrafficClass("customer", 0, 0);

    private final JobTracker tracker = new JobTracker();
    private final List<EngineCandidate> engines = new ArrayList<>();
    private final List<String> events = new ArrayList<>();
    private final PlannedRoom room = new PlannedRoom(tracker, entry -> List.copyOf(engines), new ClaimListener() {
        @Override
        public void made(RoomClaim claim, double now) {
            events.add("made at " + String.join(",", claim.engines().keySet()));
        }

        @Override
        public void ended(RoomClaim claim, ClaimEnd reason, double now) {
            events.add(reason.toString());
        }
    });
    private final WaitingRequest large = request(1, 80_000, 10, TRAFFIC);

    PlannedRoomTest() {
        for (String id : List.of("a", "b")) {
            engines.add(new EngineCandidate(id, 1, 0, 0));
            tracker.registerEngine(id, PROFILE);
        }
        addJob(101, "a", 200);
        addJob(102, "b", 300);
    }

    private void addJob(long number, String engine, long output) {
        EngineJob job = new EngineJob(
                new JobId("d", number), List.of(engine), List.of(60_000L), 60_000 - output, output, 1_000, 500);
        tracker.add(job, 0, 1);
        tracker.firstToken(job.id(), 0);
    }

    private static WaitingRequest request(long number, long prompt, long output, TrafficClass traffic) {
        PromptNeed need = new PromptNeed(prompt, output, 6_000, 1_000, 0, 15_000, traffic);
        EngineRequest request = new EngineRequest(new JobId("d", number), "engines", need, Set.of(), Set.of(), true);
        return new WaitingRequest(
                request,
                PROFILE,
                new EngineScheduler.Listener() {
                    @Override
                    public void placed(EngineJob job, Placement placement) {}

                    @Override
                    public void refused(double retryAfterMillis) {}
                },
                0);
    }

    private EngineCandidate available(WaitingRequest entry, String engine) {
        return room.available(entry.request(), engines, 0).stream()
                .filter(candidate -> candidate.id().equals(engine))
                .findFirst()
                .orElseThrow();
    }

    private boolean endTurn(double now) {
        return room.turnEnded("engines", Optional.of(large), now);
    }

    @Test
    void roomIsKeptAtTheEngineThatIsFreeFirst() {
        endTurn(0);
        assertEquals(List.of("made at a"), events);
        assertEquals(List.of(large.id()), room.claimants());
    }

    /** A short request that ran for long took the memory that was to come free for the large one. */
    @Test
    void onlyRequestsThatEndInTimeMayUseIt() {
        endTurn(0);
        WaitingRequest lasting = request(2, 20_000, 1_000, TRAFFIC);
        assertEquals(20_010, available(lasting, "a").claimedTokens());
        assertEquals(0, available(lasting, "b").claimedTokens());
        assertEquals(0, available(request(3, 20_000, 10, TRAFFIC), "a").claimedTokens());
        assertEquals(0, available(large, "a").claimedTokens());
    }

    @Test
    void requestsOfTheDefaultClassKeepNoRoom() {
        WaitingRequest other = request(4, 80_000, 10, TrafficClass.DEFAULT);
        assertFalse(room.mayClaim(other));
        room.turnEnded("engines", Optional.of(other), 0);
        assertEquals(List.of(), events);
        assertEquals(engines, room.available(request(2, 20_000, 1_000, TRAFFIC).request(), engines, 0));
    }

    @Test
    void roomIsPlannedAnewIfItsEngineLeaves() {
        endTurn(0);
        engines.remove(0);
        endTurn(10);
        assertEquals(List.of("made at a", "ENGINE_GONE", "made at b"), events);
        assertEquals(List.of(large.id()), room.claimants());
    }

    /** The jobs run longer than predicted. */
    @Test
    void overdueRoomIsPlannedAnew() {
        endTurn(0);
        endTurn(2_601);
        assertEquals(List.of("made at a", "OVERDUE", "made at a"), events);
    }

    @Test
    void theRoomOfARequestThatIsWithdrawnIsFree() {
        endTurn(0);
        room.removed(large.id(), 10);
        assertEquals(List.of("made at a", "NOT_WAITING"), events);
        assertEquals(List.of(), room.claimants());
        assertEquals(0, available(request(2, 20_000, 1_000, TRAFFIC), "a").claimedTokens());
    }

    @Test
    void theRoomOfARequestThatWasPlacedIsUsed() {
        endTurn(0);
        tracker.remove(new JobId("d", 101));
        tracker.add(new EngineJob(large.id(), List.of("a"), List.of(80_010L), 80_000, 10, 6_000, 1_000), 1_900, 1);
        room.removed(large.id(), 1_900);
        assertEquals(List.of("made at a", "PLACED"), events);
    }

    @Test
    void aRequestWhoseRoomComesFreeTooLateIsRefused() {
        assertFalse(endTurn(0));
        room.removed(large.id(), 0);
        tracker.remove(new JobId("d", 101));
        tracker.remove(new JobId("d", 102));
        addJob(103, "a", 800);
        addJob(104, "b", 800);
        assertTrue(endTurn(0));
        assertEquals(List.of("made at a", "NOT_WAITING"), events);
    }
}
