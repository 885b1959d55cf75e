package org.endivehold.relay.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.endivehold.relay.route.EngineProfile;
import org.junit.jupiter.api.Test;

/** Guards against claims that are planned for a time at which the engines are still full. */
class PredictedReleaseTest {
    /** Prefills 100 tokens a millisecond and produces 10 tokens in a pass of 100 ms. */
    private static final EngineProfile PROFILE = new EngineProfile(4, 100_000, 10, 10, 0, 0, 100, 0, 2_000);

    private static final double PREFILL = 500;
    private static final double DECODE = 2_100;
    /** A prefill of 500 ms takes a sixth of the engine's time, averaged over 3 s. */
    private static final double DECODE_BESIDE_A_PREFILL = DECODE / (1 - PREFILL / 3_000);

    private final JobTracker tracker = new JobTracker();

    private EngineJob add(long number, double now, String... engines) {
        List<Long> held = Collections.nCopies(engines.length, 30_000L);
        EngineJob job = new EngineJob(
                new JobId("d", number), List.of(engines), held, 50_000L * engines.length, 200, 1_000, 500);
        tracker.add(job, now, 1);
        return job;
    }

    private void registerEngines() {
        tracker.registerEngine("a", PROFILE);
        tracker.registerEngine("b", PROFILE);
    }

    private EngineRoom room(String engine, double now) {
        return tracker.room(engine, now).orElseThrow();
    }

    private double end(String engine, double now) {
        List<PredictedRelease> releases = room(engine, now).releases();
        assertEquals(1, releases.size());
        return releases.get(0).atMillis();
    }

    @Test
    void aJobEndsAfterItsPrefillAndAllPassesOfItsAnswer() {
        registerEngines();
        add(1, 1_000, "a");
        assertEquals(1_000 + PREFILL + DECODE, end("a", 1_000), 1e-9);
        assertEquals(1_000 + PREFILL + DECODE, end("a", 1_100), 1e-9);
    }

    @Test
    void theEndFollowsTheFirstToken() {
        registerEngines();
        EngineJob job = add(1, 1_000, "a");
        tracker.firstToken(job.id(), 1_800);
        assertEquals(1_800 + DECODE, end("a", 1_900), 1e-9);
    }

    /** A repeated report of the first token moved the predicted end. */
    @Test
    void onlyTheFirstReportOfTheFirstTokenCounts() {
        registerEngines();
        EngineJob job = add(1, 1_000, "a");
        tracker.firstToken(job.id(), 1_800);
        tracker.firstToken(job.id(), 2_500);
        assertEquals(1_800 + DECODE, end("a", 2_500), 1e-9);
    }

    @Test
    void anOverdueJobIsPredictedToEndLater() {
        registerEngines();
        EngineJob job = add(1, 0, "a");
        tracker.firstToken(job.id(), 500);
        double late = 500 + DECODE + 3_000;
        assertTrue(end("a", late) > late + 100, () -> "end at " + end("a", late));
    }

    /** Jobs at engines that were busy with prefills ended several times later than predicted. */
    @Test
    void recentPrefillsOfOthersDelayTheEndOfAnAnswer() {
        registerEngines();
        EngineJob job = add(1, 0, "a");
        tracker.firstToken(job.id(), 500);
        assertEquals(500 + DECODE, end("a", 600), 1e-9);
        add(2, 600, "a");
        assertEquals(
                500 + DECODE_BESIDE_A_PREFILL, room("a", 600).releases().get(0).atMillis(), 1e-9);
    }

    @Test
    void aHelperReleasesItsMemoryWhenTheWholeJobEnds() {
        registerEngines();
        add(1, 0, "a", "b");
        assertEquals(end("a", 0), end("b", 0), 1e-9);
        assertEquals(
                new PredictedRelease(end("a", 0), 30_000, 0),
                room("b", 0).releases().get(0));
        assertEquals(1, room("a", 0).releases().get(0).slots());
    }

    @Test
    void aHelperWithoutMemoryReleasesNothing() {
        registerEngines();
        tracker.add(
                new EngineJob(new JobId("d", 1), List.of("a", "b"), List.of(30_000L, 0L), 50_000, 200, 1_000, 500),
                0,
                1);
        assertEquals(List.of(), room("b", 0).releases());
    }

    @Test
    void anUnknownEngineHasNoRoom() {
        assertEquals(Optional.empty(), tracker.room("a", 0));
        assertEquals(Double.POSITIVE_INFINITY, tracker.predictedEnd("a", new JobId("d", 9), need(), 1, 0));
    }

    @Test
    void aRequestEndsAfterThePrefillsBeforeIt() {
        registerEngines();
        assertEquals(PREFILL + DECODE, tracker.predictedEnd("a", new JobId("d", 9), need(), 1, 0), 1e-9);
        add(1, 0, "a");
        assertEquals(
                2 * PREFILL + DECODE_BESIDE_A_PREFILL,
                tracker.predictedEnd("a", new JobId("d", 9), need(), 1, 0),
                1e-9);
    }

    @Test
    void roomComesFreeWithTheJobThatReleasesEnough() {
        EngineRoom room = new EngineRoom(
                "a",
                10,
                0,
                List.of(
                        new PredictedRelease(300, 50, 0),
                        new PredictedRelease(100, 20, 1),
                        new PredictedRelease(200, 30, 1)));
        assertEquals(50, room.freeAtMillis(10, 0, 50), 1e-9);
        assertEquals(100, room.freeAtMillis(10, 1, 50), 1e-9);
        assertEquals(200, room.freeAtMillis(60, 1, 50), 1e-9);
        assertEquals(300, room.freeAtMillis(61, 1, 50), 1e-9);
        assertEquals(Double.POSITIVE_INFINITY, room.freeAtMillis(111, 0, 50));
        assertEquals(50, room.tokensReleasedBy(200));
        assertEquals(1, room.slotsReleasedBy(150));
    }

    private static PromptNeed need() {
        return new PromptNeed(50_000, 200, 1_000, 500, 0, 10_000);
    }
}
