package org.endivehold.relay.room;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.DoubleUnaryOperator;
import org.endivehold.relay.engine.EngineRoom;
import org.endivehold.relay.engine.JobId;
import org.endivehold.relay.engine.PredictedRelease;
import org.endivehold.relay.engine.PromptNeed;
import org.endivehold.relay.route.EngineProfile;
import org.endivehold.relay.route.TrafficClass;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RoomPlannerTest {
    private static final EngineProfile PROFILE = new EngineProfile(8, 200_000, 34, 1.3, 0, 0, 100, 0, 2_000);
    private static final String SERVICE = "engines";
    private static final JobId OTHER = new JobId("other", 1);

    private final List<String> events = new ArrayList<>();
    private final RoomPlanner planner = new RoomPlanner(new ClaimListener() {
        @Override
        public void made(RoomClaim claim, double now) {
            events.add("made " + claim.request().number());
        }

        @Override
        public void ended(RoomClaim claim, ClaimEnd reason, double now) {
            events.add(reason + " " + claim.request().number());
        }
    });

    private static RoomRequest request(long number, long tokens, double elapsed, TrafficClass traffic) {
        PromptNeed need = new PromptNeed(tokens, 0, 6_000, 1_000, elapsed, 15_000, traffic);
        return new RoomRequest(new JobId("d", number), SERVICE, need, PROFILE);
    }

    private static RoomRequest request(long number, long tokens) {
        return request(number, tokens, 0, new TrafficClass("customer", 0, 0));
    }

    private static PredictedRelease release(double at, long tokens) {
        return new PredictedRelease(at, tokens, 1);
    }

    private static EngineRoom room(String engine, double free, PredictedRelease... releases) {
        return new EngineRoom(engine, free, 1, List.of(releases));
    }

    /** The engine of the example in the class comment. */
    private static EngineRoom example(double free) {
        return room("a", free, release(1_000, 60_000), release(2_000, 50_000), release(3_000, 50_000));
    }

    /** The same engine with jobs that end later than predicted. */
    private static final EngineRoom LATE =
            room("a", 30_000, release(2_700, 60_000), release(2_800, 50_000), release(3_000, 50_000));

    private RoomClaim claim() {
        return planner.claims().get(0);
    }

    @Test
    void roomIsClaimedForTheEarliestTimeAtWhichItIsFree() {
        planner.plan(request(1, 130_000), List.of(example(30_000)), 0);
        assertEquals(2_000, claim().dueAt(), 1e-9);
        assertEquals(Map.of("a", new ClaimedRoom(130_000, 1)), claim().engines());
    }

    @Test
    void aRequestThatEndsBeforeTheClaimIsDueMayUseItsRoom() {
        planner.plan(request(1, 130_000), List.of(example(30_000)), 0);
        assertEquals(ClaimedRoom.NONE, planner.withheld(SERVICE, OTHER, example(30_000), 2_000));
    }

    /** Requests that run beyond the due time share what the claim leaves at that time. */
    @Test
    void aRequestThatEndsLaterMayUseWhatTheClaimLeaves() {
        planner.plan(request(1, 130_000), List.of(example(30_000)), 0);
        assertEquals(
                20_000, planner.withheld(SERVICE, OTHER, example(30_000), 2_001).tokens());
        assertEquals(
                20_000, planner.withheld(SERVICE, OTHER, example(20_000), 2_001).tokens());
    }

    @Test
    void nothingIsWithheldFromTheRequestThatHasTheClaimNorElsewhere() {
        planner.plan(request(1, 130_000), List.of(example(30_000)), 0);
        JobId own = claim().request();
        assertEquals(ClaimedRoom.NONE, planner.withheld(SERVICE, own, example(30_000), 9_000));
        assertEquals(ClaimedRoom.NONE, planner.withheld(SERVICE, OTHER, room("b", 1), 9_000));
        assertEquals(ClaimedRoom.NONE, planner.withheld("another", OTHER, example(30_000), 9_000));
    }

    @Test
    void allClaimedRoomIsWithheldIfItsJobsEndLate() {
        planner.plan(request(1, 130_000), List.of(example(30_000)), 0);
        EngineRoom late = room("a", 90_000, release(2_300, 50_000), release(3_000, 50_000));
        assertEquals(new ClaimedRoom(130_000, 1), planner.withheld(SERVICE, OTHER, late, 2_100));
    }

    @Test
    void aPromptThatNeedsSeveralEnginesClaimsThoseThatAreFreeFirst() {
        planner.plan(
                request(1, 230_000),
                List.of(
                        room("a", 1_000, release(5_000, 190_000)),
                        room("b", 1_000, release(1_000, 190_000)),
                        room("c", 120_000)),
                0);
        assertEquals(1_000, claim().dueAt(), 1e-9);
        assertEquals(Set.of("b", "c"), claim().engines().keySet());
        assertEquals(
                1,
                claim().engines().values().stream().mapToInt(ClaimedRoom::slots).sum());
    }

    /** An engine that has memory but no slot can hold a part, but it can not decode. */
    @Test
    void theDecodingEngineNeedsASlot() {
        EngineRoom noSlot = new EngineRoom("a", 120_000, 0, List.of(release(9_000, 1_000)));
        planner.plan(request(1, 230_000), List.of(noSlot, room("b", 1_000, release(1_000, 190_000))), 0);
        assertEquals(1_000, claim().dueAt(), 1e-9);
        assertEquals(0, claim().engines().get("a").slots());
        assertEquals(1, claim().engines().get("b").slots());
    }

    @Test
    void thereIsOneClaimAtATime() {
        planner.plan(request(1, 130_000), List.of(example(30_000)), 0);
        planner.plan(request(2, 140_000), List.of(example(30_000)), 0);
        planner.plan(request(1, 130_000), List.of(example(30_000)), 100);
        assertEquals(List.of("made 1"), events);
        planner.requestEnded(new JobId("d", 2), ClaimEnd.NOT_WAITING, 100);
        planner.requestEnded(new JobId("d", 1), ClaimEnd.PLACED, 100);
        planner.plan(request(2, 140_000), List.of(example(30_000)), 200);
        assertEquals(List.of("made 1", "PLACED 1", "made 2"), events);
    }

    @Test
    void requestsOfTheDefaultClassAndSmallOnesClaimNothing() {
        List<EngineRoom> rooms = List.of(room("a", 0, release(1_000, 190_000)));
        planner.plan(request(1, 130_000, 0, TrafficClass.DEFAULT), rooms, 0);
        planner.plan(request(2, 5_000), rooms, 0);
        assertEquals(List.of(), events);
    }

    /** A request that waits for another reason kept engines idle. */
    @Test
    void nothingIsClaimedIfThereIsRoomNow() {
        assertEquals(RoomPlanner.Decision.WAIT, planner.plan(request(1, 130_000), List.of(room("a", 130_000)), 0));
        assertEquals(List.of(), events);
    }

    /** Engines that are absent for a moment may come back in time. */
    @Test
    void aRequestIsNotRefusedForWantOfEngines() {
        List<EngineRoom> one = List.of(room("a", 0, release(1_000, 190_000)));
        assertEquals(RoomPlanner.Decision.WAIT, planner.plan(request(1, 300_000), one, 0));
        assertEquals(List.of(), events);
    }

    @Test
    void aRequestIsRefusedAtOnceIfItsRoomComesFreeTooLate() {
        TrafficClass traffic = new TrafficClass("customer", 0, 0);
        List<EngineRoom> rooms = List.of(room("a", 0, release(3_000, 190_000)));
        assertEquals(RoomPlanner.Decision.WAIT, planner.plan(request(1, 130_000, 2_900, traffic), rooms, 0));
        assertEquals(RoomPlanner.Decision.REFUSE, planner.plan(request(2, 130_000, 3_100, traffic), rooms, 0));
    }

    @Test
    void aClaimEndsIfAnEngineLeaves() {
        planner.plan(request(1, 130_000), List.of(example(30_000)), 0);
        planner.review(request(1, 130_000), List.of(example(30_000), room("b", 0)), 100);
        assertEquals(List.of("made 1"), events);
        planner.review(request(1, 130_000), List.of(room("b", 0)), 100);
        assertEquals(List.of("made 1", "ENGINE_GONE 1"), events);
        assertFalse(planner.withholds(SERVICE, OTHER, "a"));
    }

    @Test
    void aClaimEndsHalfASecondAfterItsDueTime() {
        planner.plan(request(1, 130_000), List.of(example(30_000)), 0);
        planner.review(request(1, 130_000), List.of(LATE), 2_500);
        assertTrue(planner.withholds(SERVICE, OTHER, "a"));
        planner.review(request(1, 130_000), List.of(LATE), 2_501);
        assertEquals(List.of("made 1", "OVERDUE 1"), events);
    }

    /** A request that was not admitted for its cost to others kept engines idle again and again. */
    @Test
    void aRequestThatDoesNotUseItsFreeRoomGetsNoFurtherClaim() {
        planner.plan(request(1, 130_000), List.of(example(30_000)), 0);
        planner.review(request(1, 130_000), List.of(room("a", 140_000)), 2_501);
        planner.plan(request(1, 130_000), List.of(example(30_000)), 2_600);
        assertEquals(List.of("made 1", "NOT_ADMITTED 1"), events);
        planner.plan(request(2, 130_000), List.of(LATE), 2_600);
        assertEquals(List.of("made 1", "NOT_ADMITTED 1", "made 2"), events);
    }

    @Test
    void theClaimOfARequestThatIsWithdrawnEnds() {
        planner.plan(request(1, 130_000), List.of(example(30_000)), 0);
        planner.requestEnded(new JobId("d", 1), ClaimEnd.NOT_WAITING, 100);
        assertEquals(List.of("made 1", "NOT_WAITING 1"), events);
        assertEquals(List.of(), planner.claims());
    }

    /** Short prompts took whatever came free, and the long one was never placed. */
    @ParameterizedTest
    @CsvSource({"true, 0", "false, 1"})
    void aLongPromptIsPlacedBetweenEndlessShortOnesOnlyByAClaim(boolean claims, int unplaced) {
        RoomModel model = new RoomModel(2, 100_000, DoubleUnaryOperator.identity());
        model.claiming = claims;
        for (int turn = 0; turn < 400; turn++) {
            model.arrive(12_000, 1_000);
            if (turn == 100) {
                model.arrive(110_000, 1_000);
            }
            model.turn();
        }
        assertEquals(
                unplaced,
                model.waiting.stream().filter(entry -> entry.tokens() > 100_000).count());
        assertTrue(model.longestLargeWait <= 1_050, () -> "waited " + model.longestLargeWait);
    }
}
