package org.endivehold.relay.room;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.DoubleUnaryOperator;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Random mixes of short and long requests at engines that are always full. */
class RoomPlannerProperties {
    private static final double NO_TARGET = 1e8;
    /** Longest predicted run of a request, in milliseconds. */
    private static final double MAX_RUN = 4_000;

    private static final int LOAD_TURNS = 300;
    /** Turns after which everything must have ended: each waiting long request may need the engines for itself. */
    private static final int DRAIN_TURNS = 20_000;

    /** Short requests, more than the engines can take, and now and then one that needs one to three engines. */
    private static void arrivals(RoomModel model, Random random, int turn) {
        for (int i = 0; i < model.engineIds().size(); i++) {
            model.arrive(4_000 + random.nextInt(12_000), 200 + random.nextInt(2_000));
        }
        if (turn % 40 == 10) {
            model.arrive(60_000 + random.nextInt(100_000), 500 + random.nextInt((int) MAX_RUN - 500));
        }
        model.waiting.removeIf(entry -> entry.tokens() < 20_000 && model.now - entry.since() > 100);
    }

    private static void drain(RoomModel model) {
        for (int turn = 0; turn < DRAIN_TURNS && !(model.waiting.isEmpty() && model.running() == 0); turn++) {
            model.turn();
        }
    }

    /** Requests that used claimed room put off the request that had claimed it. */
    @Property(seed = "1", tries = 20)
    void aClaimIsUsedByItsDueTimeIfJobsEndAsPredicted(
            @ForAll @IntRange(min = 3, max = 6) int engines, @ForAll long seed) {
        RoomModel model = new RoomModel(engines, NO_TARGET, DoubleUnaryOperator.identity());
        Random random = new Random(seed);
        for (int turn = 0; turn < LOAD_TURNS; turn++) {
            arrivals(model, random, turn);
            model.turn();
            for (RoomClaim claim : model.planner.claims()) {
                assertTrue(model.now <= claim.dueAt() + RoomModel.TURN_MILLIS, claim::toString);
            }
        }
        assertTrue(!model.made.isEmpty());
        assertEquals(Set.of(ClaimEnd.PLACED), Set.copyOf(model.ends));
    }

    /** Several long requests held parts of what the others needed, and none of them ran. */
    @Property(seed = "1", tries = 20)
    void everyRequestIsPlacedAndNoClaimRemains(
            @ForAll @IntRange(min = 3, max = 6) int engines,
            @ForAll @IntRange(min = 0, max = 200) int latePercent,
            @ForAll long seed) {
        Random random = new Random(seed);
        RoomModel model = new RoomModel(engines, NO_TARGET, run -> run * (1 + random.nextDouble() * latePercent / 100));
        for (int turn = 0; turn < LOAD_TURNS; turn++) {
            arrivals(model, random, turn);
            model.turn();
            assertTrue(model.planner.claims().size() <= 1);
        }
        drain(model);
        assertEquals(List.of(), model.waiting);
        assertEquals(List.of(), model.planner.claims());
        assertEquals(model.made.size(), model.ends.size());
    }

    /** Claims at engines that had left were never fulfilled, and no other claim was made. */
    @Property(seed = "1", tries = 20)
    void claimsFollowTheEnginesThatAreLeft(@ForAll long seed) {
        Random random = new Random(seed);
        RoomModel model = new RoomModel(6, NO_TARGET, run -> run * (1 + random.nextDouble() / 2));
        for (int turn = 0; turn < LOAD_TURNS; turn++) {
            arrivals(model, random, turn);
            if (random.nextInt(50) == 0 && model.engineIds().size() > 3) {
                model.removeEngine(model.engineIds().get(random.nextInt(3)));
            } else if (random.nextInt(60) == 0) {
                model.addEngine("new" + turn);
            }
            model.turn();
            model.planner
                    .claims()
                    .forEach(claim -> assertTrue(
                            model.engineIds().containsAll(claim.engines().keySet()), claim::toString));
        }
        drain(model);
        assertEquals(List.of(), model.waiting);
        assertEquals(List.of(), model.planner.claims());
        assertEquals(model.made.size(), model.ends.size());
    }

    /** One long request waited for as long as short ones kept arriving. */
    @Property(seed = "1", tries = 20)
    void theWaitOfALongRequestIsBounded(
            @ForAll @IntRange(min = 3, max = 6) int engines,
            @ForAll @IntRange(min = 0, max = 100) int latePercent,
            @ForAll long seed) {
        Random random = new Random(seed);
        RoomModel model = new RoomModel(engines, NO_TARGET, run -> run * (1 + random.nextDouble() * latePercent / 100));
        for (int turn = 0; turn < LOAD_TURNS; turn++) {
            arrivals(model, random, turn % 40 == 10 && turn != 90 ? 0 : turn);
            model.turn();
        }
        double latestEnd = 2_200 * (1 + latePercent / 100.0);
        double bound = latestEnd + RoomPlanner.GRACE_MILLIS + 2 * RoomModel.TURN_MILLIS;
        assertTrue(
                model.longestLargeWait > 0 && model.longestLargeWait <= bound,
                () -> "waited " + model.longestLargeWait + ", bound " + bound);
    }
}
