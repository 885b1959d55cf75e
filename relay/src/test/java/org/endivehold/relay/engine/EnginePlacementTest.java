package org.endivehold.relay.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.endivehold.relay.route.EngineProfile;
import org.junit.jupiter.api.Test;

/** Where prompts go under the patterns of a day: each test names the pattern that it answers. */
class EnginePlacementTest {
    private static final EngineProfile PROFILE =
            new EngineProfile(11, 405_000, 34, 1.31, 0.0013, 0.00213, 154, 0.162, 2_048);
    private static final PromptNeed SHORT = new PromptNeed(5_000, 1_300, 300, 250, 0, 15_000);
    private static final PromptNeed MEDIUM = new PromptNeed(45_000, 800, 1_500, 600, 0, 15_000);
    private static final PromptNeed LONG = new PromptNeed(182_000, 650, 3_000, 1_000, 0, 15_000);
    private static final PromptNeed GIANT = new PromptNeed(540_000, 650, 3_000, 1_000, 0, 15_000);

    private final EngineBoard board = new EngineBoard();
    private final List<EngineCandidate> engines = new ArrayList<>();
    private long next;

    private void fleet(int size) {
        for (int i = 0; i < size; i++) {
            engines.add(new EngineCandidate("engine-" + i, 1, 0, 0));
            board.engine("engine-" + i, PROFILE);
        }
    }

    private Placement place(PromptNeed need, double now) {
        Placement placement = EnginePlacement.place(board, engines, need, now).orElseThrow();
        board.add(job(need, placement), now, 1);
        return placement;
    }

    private EngineJob job(PromptNeed need, Placement placement) {
        return new EngineJob(
                new JobId("daemon", next++),
                placement.engines(),
                placement.heldTokens(),
                need.promptTokens(),
                need.outputTokens(),
                need.firstAimMillis(),
                need.gapAimMillis());
    }

    @Test
    void aLongPromptOnAnIdleFleetIsReadApartInTime() {
        fleet(16);
        Placement placement = place(LONG, 0);
        assertTrue(placement.engines().size() > 1);
        assertTrue(placement.firstMillis() < 0.6 * LONG.firstAimMillis(), () -> "first " + placement.firstMillis());
        assertFalse(placement.reserves());
    }

    @Test
    void aShortPromptIsNeverReadApart() {
        fleet(16);
        assertEquals(1, place(SHORT, 0).engines().size());
    }

    @Test
    void aSurgeOfShortPromptsLeavesEnginesWhereNobodyShortWrites() {
        fleet(16);
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 40; i++) {
            double now = i * 45;
            Placement placement = place(SHORT, now);
            board.firstToken(new JobId("daemon", next - 1));
            used.add(placement.engines().get(0));
            assertTrue(placement.firstMillis() < 200, () -> "first " + placement.firstMillis());
        }
        assertTrue(used.size() <= 8, () -> "short prompts write at " + used.size() + " engines");
    }

    @Test
    void shortPromptsBehindALongReadGoElsewhere() {
        fleet(8);
        Placement reading = place(LONG, 0);
        for (int i = 0; i < 10; i++) {
            Placement placement = place(SHORT, 10 + i);
            assertFalse(reading.engines().contains(placement.engines().get(0)));
        }
    }

    @Test
    void aLongPromptAvoidsEnginesWhoseWritersItWouldDelay() {
        fleet(16);
        Set<String> shorts = new HashSet<>();
        for (int i = 0; i < 30; i++) {
            shorts.add(place(SHORT, i * 45).engines().get(0));
            board.firstToken(new JobId("daemon", next - 1));
        }
        Placement placement = place(LONG, 2_000);
        double part =
                PROFILE.prefillMillis(LONG.promptTokens(), placement.engines().size());
        if (part > SHORT.gapAimMillis()) {
            for (String engine : placement.engines()) {
                assertFalse(shorts.contains(engine), "part of " + part + " ms at " + engine);
            }
        }
    }

    @Test
    void aPromptBeyondOneEngineIsHeldBySeveral() {
        fleet(16);
        Placement placement = place(GIANT, 0);
        assertTrue(placement.reserves());
        long held = placement.heldTokens().stream().mapToLong(Long::longValue).sum();
        assertTrue(held >= GIANT.memoryTokens());
        for (long tokens : placement.heldTokens()) {
            assertTrue(tokens <= PROFILE.memoryTokens());
        }
    }

    @Test
    void aPromptBeyondAllEnginesHasNoPlace() {
        fleet(2);
        PromptNeed need = new PromptNeed(900_000, 100, 3_000, 1_000, 0, 15_000);
        assertEquals(Optional.empty(), EnginePlacement.place(board, engines, need, 0));
    }

    @Test
    void fullEnginesGetNothing() {
        fleet(1);
        for (int i = 0; i < PROFILE.slots(); i++) {
            place(SHORT, i * 100);
            board.firstToken(new JobId("daemon", next - 1));
        }
        assertEquals(Optional.empty(), EnginePlacement.place(board, engines, SHORT, 2_000));
        board.remove(new JobId("daemon", 0));
        assertTrue(EnginePlacement.place(board, engines, SHORT, 2_000).isPresent());
    }

    @Test
    void aSlowEngineIsLeftForOthers() {
        fleet(3);
        engines.set(0, new EngineCandidate("engine-0", 6, 0, 0));
        for (int i = 0; i < 6; i++) {
            assertFalse(place(SHORT, i * 60).engines().contains("engine-0"));
        }
    }

    @Test
    void requestsOfADaemonThatIsLostAreForgotten() {
        fleet(1);
        EngineJob other =
                new EngineJob(new JobId("other", 1), List.of("engine-0"), List.of(5_000L), 5_000, 100, 300, 250);
        board.add(other, 0, 1);
        assertEquals(1, board.occupied("engine-0"));
        board.removeDaemon("other");
        assertEquals(0, board.occupied("engine-0"));
    }

    @Test
    void aMediumPromptDoesNotWaitBehindAnother() {
        fleet(6);
        Placement first = place(MEDIUM, 0);
        Placement second = place(MEDIUM, 5);
        assertTrue(second.firstMillis() < MEDIUM.firstAimMillis() * 0.6);
        assertTrue(first.firstMillis() < MEDIUM.firstAimMillis() * 0.6);
    }

    @Test
    void aBurstLeavesTheLastSlotsOfAnEngineToOtherDaemons() {
        fleet(3);
        int most = 0;
        for (int i = 0; i < 2 * PROFILE.slots(); i++) {
            place(SHORT, i * 60);
            board.firstToken(new JobId("daemon", next - 1));
        }
        for (EngineCandidate engine : engines) {
            most = Math.max(most, board.occupied(engine.id()));
        }
        int seen = most;
        assertTrue(seen < PROFILE.slots(), () -> seen + " requests at one engine while others have room");
    }

    @Test
    void aDaemonThatHasJustStartedCountsWhatItWasToldBeforeItKnewTheEngines() {
        EngineJob reading =
                new EngineJob(new JobId("other", 1), List.of("engine-0"), List.of(45_000L), 45_000, 100, 1_500, 600);
        EngineJob writing =
                new EngineJob(new JobId("other", 2), List.of("engine-0"), List.of(5_000L), 5_000, 100, 300, 250);
        board.add(reading, 0, 1);
        board.add(writing, 0, 1);
        board.firstToken(writing.id());
        fleet(2);
        assertEquals(2, board.occupied("engine-0"));
        assertTrue(board.load("engine-0").passMillis() > 2 * PROFILE.stepMillis());
        assertEquals("engine-1", place(SHORT, 10).engines().get(0));
        board.remove(reading.id());
        board.remove(writing.id());
        assertEquals(0, board.occupied("engine-0"));
    }
}
