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
import org.endivehold.relay.route.TrafficClass;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Placement of prompts under the load patterns that occur in operation; each test is named after its pattern. */
class EnginePlacementTest {
    private static final EngineProfile PROFILE =
            new EngineProfile(11, 405_000, 34, 1.31, 0.0013, 0.00213, 154, 0.162, 2_048);
    private static final PromptNeed SHORT = new PromptNeed(5_000, 1_300, 300, 250, 0, 15_000);
    private static final PromptNeed MEDIUM = new PromptNeed(45_000, 800, 1_500, 600, 0, 15_000);
    private static final PromptNeed LONG = new PromptNeed(182_000, 650, 3_000, 1_000, 0, 15_000);
    private static final PromptNeed GIANT = new PromptNeed(540_000, 650, 3_000, 1_000, 0, 15_000);

    private final JobTracker tracker = new JobTracker();
    private final List<EngineCandidate> engines = new ArrayList<>();
    private long nextNumber;

    private void registerEngines(int size) {
        for (int i = 0; i < size; i++) {
            engines.add(new EngineCandidate("engine-" + i, 1, 0, 0));
            tracker.registerEngine("engine-" + i, PROFILE);
        }
    }

    private Placement place(PromptNeed need, double now) {
        Placement placement = EnginePlacement.place(tracker, engines, need, now).orElseThrow();
        tracker.add(job(need, placement), now, 1);
        return placement;
    }

    private EngineJob job(PromptNeed need, Placement placement) {
        return EngineJob.of(new JobId("daemon", nextNumber++), placement, need);
    }

    @Test
    void aLongPromptOnAnIdleFleetIsSplitAndMeetsItsTarget() {
        registerEngines(16);
        Placement placement = place(LONG, 0);
        assertTrue(placement.engines().size() > 1);
        assertTrue(
                placement.firstTokenMillis() < 0.6 * LONG.firstEventTargetMillis(),
                () -> "first token after " + placement.firstTokenMillis());
        assertFalse(placement.needsReservation());
    }

    /** Long prompts of the least urgent route lengthened the pauses of the most urgent answers on all engines. */
    @ParameterizedTest
    @CsvSource({"0,true", "2,false"})
    void aLongPromptIsNotAdmittedWhereItDelaysManyMoreUrgentAnswers(int routeRank, boolean admitted) {
        registerEngines(4);
        PromptNeed decoding = SHORT.withTraffic(new TrafficClass("", 0, routeRank));
        for (int i = 0; i < 28; i++) {
            place(decoding, i * 60);
            tracker.firstToken(new JobId("daemon", i), i * 60);
        }
        PromptNeed patient = new PromptNeed(182_000, 650, 6_000, 1_000, 0, 15_000);
        Placement placement =
                EnginePlacement.place(tracker, engines, patient, 1_800).orElseThrow();
        assertEquals(admitted, StartRule.admits(placement, patient), placement::toString);
    }

    @Test
    void aShortPromptIsNeverSplit() {
        registerEngines(16);
        assertEquals(1, place(SHORT, 0).engines().size());
    }

    @Test
    void aBurstOfShortPromptsLeavesEnginesWithoutShortRequests() {
        registerEngines(16);
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 40; i++) {
            double now = i * 45;
            Placement placement = place(SHORT, now);
            tracker.firstToken(new JobId("daemon", nextNumber - 1), now);
            used.add(placement.engines().get(0));
            assertTrue(placement.firstTokenMillis() < 200, () -> "first token after " + placement.firstTokenMillis());
        }
        assertTrue(used.size() <= 8, () -> "short prompts are decoded at " + used.size() + " engines");
    }

    @Test
    void shortPromptsAvoidEnginesThatPrefillALongPrompt() {
        registerEngines(8);
        Placement prefilling = place(LONG, 0);
        for (int i = 0; i < 10; i++) {
            Placement placement = place(SHORT, 10 + i);
            assertFalse(prefilling.engines().contains(placement.engines().get(0)));
        }
    }

    @Test
    void aLongPromptAvoidsEnginesWhoseDecodingItWouldDelay() {
        registerEngines(16);
        Set<String> shortEngines = new HashSet<>();
        for (int i = 0; i < 30; i++) {
            shortEngines.add(place(SHORT, i * 45).engines().get(0));
            tracker.firstToken(new JobId("daemon", nextNumber - 1), i * 45);
        }
        Placement placement = place(LONG, 2_000);
        double partMillis =
                PROFILE.prefillMillis(LONG.promptTokens(), placement.engines().size());
        if (partMillis > SHORT.gapTargetMillis()) {
            for (String engine : placement.engines()) {
                assertFalse(shortEngines.contains(engine), "part of " + partMillis + " ms at " + engine);
            }
        }
    }

    @Test
    void aContextTooLargeForOneEngineIsSpreadOverSeveral() {
        registerEngines(16);
        Placement placement = place(GIANT, 0);
        assertTrue(placement.needsReservation());
        long held = placement.heldTokens().stream().mapToLong(Long::longValue).sum();
        assertTrue(held >= GIANT.memoryTokens());
        for (long tokens : placement.heldTokens()) {
            assertTrue(tokens <= PROFILE.memoryTokens());
        }
    }

    @Test
    void aContextTooLargeForAllEnginesIsNotPlaced() {
        registerEngines(2);
        PromptNeed need = new PromptNeed(900_000, 100, 3_000, 1_000, 0, 15_000);
        assertEquals(Optional.empty(), EnginePlacement.place(tracker, engines, need, 0));
    }

    @Test
    void enginesWithoutFreeSlotsGetNoRequest() {
        registerEngines(1);
        for (int i = 0; i < PROFILE.slots(); i++) {
            place(SHORT, i * 100);
            tracker.firstToken(new JobId("daemon", nextNumber - 1), i * 100);
        }
        assertEquals(Optional.empty(), EnginePlacement.place(tracker, engines, SHORT, 2_000));
        tracker.remove(new JobId("daemon", 0));
        assertTrue(EnginePlacement.place(tracker, engines, SHORT, 2_000).isPresent());
    }

    @Test
    void aSlowEngineIsAvoided() {
        registerEngines(3);
        engines.set(0, new EngineCandidate("engine-0", 6, 0, 0));
        for (int i = 0; i < 6; i++) {
            assertFalse(place(SHORT, i * 60).engines().contains("engine-0"));
        }
    }

    @Test
    void jobsOfALostDaemonAreRemoved() {
        registerEngines(1);
        EngineJob other =
                new EngineJob(new JobId("other", 1), List.of("engine-0"), List.of(5_000L), 5_000, 100, 300, 250);
        tracker.add(other, 0, 1);
        assertEquals(1, tracker.usedSlots("engine-0"));
        tracker.removeDaemon("other");
        assertEquals(0, tracker.usedSlots("engine-0"));
    }

    @Test
    void aMediumPromptDoesNotWaitBehindAnother() {
        registerEngines(6);
        Placement first = place(MEDIUM, 0);
        Placement second = place(MEDIUM, 5);
        assertTrue(second.firstTokenMillis() < MEDIUM.firstEventTargetMillis() * 0.6);
        assertTrue(first.firstTokenMillis() < MEDIUM.firstEventTargetMillis() * 0.6);
    }

    @Test
    void aBurstLeavesTheLastSlotsOfAnEngineToOtherDaemons() {
        registerEngines(3);
        int maxUsed = 0;
        for (int i = 0; i < 2 * PROFILE.slots(); i++) {
            place(SHORT, i * 60);
            tracker.firstToken(new JobId("daemon", nextNumber - 1), i * 60);
        }
        for (EngineCandidate engine : engines) {
            maxUsed = Math.max(maxUsed, tracker.usedSlots(engine.id()));
        }
        int used = maxUsed;
        assertTrue(used < PROFILE.slots(), () -> used + " requests at one engine while others have free slots");
    }

    @Test
    void jobsReportedBeforeTheirEngineIsRegisteredAreCounted() {
        EngineJob prefilling =
                new EngineJob(new JobId("other", 1), List.of("engine-0"), List.of(45_000L), 45_000, 100, 1_500, 600);
        EngineJob decoding =
                new EngineJob(new JobId("other", 2), List.of("engine-0"), List.of(5_000L), 5_000, 100, 300, 250);
        tracker.add(prefilling, 0, 1);
        tracker.add(decoding, 0, 1);
        tracker.firstToken(decoding.id(), 0);
        registerEngines(2);
        assertEquals(2, tracker.usedSlots("engine-0"));
        assertTrue(tracker.load("engine-0").passMillis() > 2 * PROFILE.stepMillis());
        assertEquals("engine-1", place(SHORT, 10).engines().get(0));
        tracker.remove(prefilling.id());
        tracker.remove(decoding.id());
        assertEquals(0, tracker.usedSlots("engine-0"));
    }

    /** Short prompts took the memory and the slots that were kept for a long one. */
    @Test
    void roomThatIsKeptForAnotherRequestIsNotUsed() {
        registerEngines(2);
        long usable = (long) (PROFILE.memoryTokens() * 0.97);
        engines.set(0, engines.get(0).without(usable - SHORT.memoryTokens() + 1, 0));
        engines.set(1, engines.get(1).without(0, PROFILE.slots()));
        assertEquals(Optional.empty(), EnginePlacement.place(tracker, engines, SHORT, 0));
        engines.set(0, engines.get(0).without(usable - SHORT.memoryTokens(), PROFILE.slots() - 1));
        assertEquals(List.of("engine-0"), place(SHORT, 0).engines());
    }

    /** A claim counted on another way of dividing the context than the placement that was to use it. */
    @Test
    void aPlacementHoldsTheContextAsItsSplitSays() {
        registerEngines(3);
        Placement placement = place(GIANT, 0);
        List<ContextSplit> splits = EnginePlacement.contextSplits(GIANT, PROFILE, 3);
        long holders =
                placement.heldTokens().stream().filter(tokens -> tokens > 0).count();
        assertEquals(new ContextSplit((int) holders, placement.heldTokens().get(0)), splits.get(0));
    }
}
