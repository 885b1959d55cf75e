package org.endivehold.relay.engine;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import org.apache.commons.codec.digest.MurmurHash3;
import org.endivehold.relay.route.EngineProfile;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against many daemons choosing the same engine because each learns of the others' requests only after a delay.
 */
class StaleViewsTest {
    private static final EngineProfile PROFILE =
            new EngineProfile(8, 405_000, 34, 1.31, 0.0013, 0.00213, 154, 0.162, 2_048);
    private static final PromptNeed SHORT = new PromptNeed(5_000, 1_300, 309, 250, 0, 15_000);
    private static final double DECODING_MILLIS = 1_700;

    private record PlacedJob(double at, EngineJob job) {}

    @ParameterizedTest(name = "{0} daemons, {1} engines, {2} requests a second, reported after {3} ms")
    @CsvSource({"6, 16, 56, 10", "60, 54, 60, 45", "82, 78, 90, 50", "400, 1000, 900, 60"})
    void aBurstOfShortPromptsMeetsItsTarget(int daemons, int engines, int perSecond, double lag) {
        List<JobTracker> trackers = new ArrayList<>();
        for (int d = 0; d < Math.min(daemons, 60); d++) {
            JobTracker tracker = new JobTracker();
            for (int e = 0; e < engines; e++) {
                tracker.registerEngine("engine-" + e, PROFILE);
            }
            trackers.add(tracker);
        }
        Random random = new Random(1);
        Deque<PlacedJob> undelivered = new ArrayDeque<>();
        Deque<PlacedJob> running = new ArrayDeque<>();
        List<PlacedJob> placed = new ArrayList<>();
        for (int i = 0; i < 2 * perSecond && i < 400; i++) {
            double now = i * 1_000.0 / perSecond;
            deliver(trackers, undelivered, now - lag);
            removeEnded(trackers, running, now - DECODING_MILLIS);
            int self = random.nextInt(trackers.size());
            Placement placement = EnginePlacement.place(trackers.get(self), candidates(self, engines), SHORT, now)
                    .orElseThrow();
            EngineJob job = new EngineJob(
                    new JobId("d" + self, i),
                    placement.engines(),
                    placement.heldTokens(),
                    SHORT.promptTokens(),
                    SHORT.outputTokens(),
                    SHORT.firstEventTargetMillis(),
                    SHORT.gapTargetMillis());
            trackers.get(self).add(job, now, 1);
            PlacedJob placedJob = new PlacedJob(now, job);
            undelivered.add(placedJob);
            running.add(placedJob);
            placed.add(placedJob);
        }
        double pass = PROFILE.passMillis(PROFILE.slots(), 0);
        int max = maxWithinWindow(placed, pass);
        double firstToken = pass / 2 + max * PROFILE.prefillMillis(SHORT.promptTokens(), 1) + 2 * pass;
        assertTrue(
                firstToken <= SHORT.firstEventTargetMillis(),
                () -> max + " requests reached one engine within one pass");
    }

    private static List<EngineCandidate> candidates(int self, int engines) {
        List<EngineCandidate> candidates = new ArrayList<>();
        for (int e = 0; e < engines; e++) {
            String id = "engine-" + e;
            double bias = (MurmurHash3.hash32x86((self + "/" + id).getBytes(StandardCharsets.UTF_8)) >>> 1)
                    / (double) Integer.MAX_VALUE;
            candidates.add(new EngineCandidate(id, 1, 0, bias));
        }
        return candidates;
    }

    private static void deliver(List<JobTracker> trackers, Deque<PlacedJob> undelivered, double until) {
        while (!undelivered.isEmpty() && undelivered.peekFirst().at() <= until) {
            PlacedJob next = undelivered.removeFirst();
            for (JobTracker tracker : trackers) {
                tracker.add(next.job(), next.at(), 1);
                tracker.firstToken(next.job().id(), next.at());
            }
        }
    }

    private static void removeEnded(List<JobTracker> trackers, Deque<PlacedJob> running, double until) {
        while (!running.isEmpty() && running.peekFirst().at() <= until) {
            JobId id = running.removeFirst().job().id();
            trackers.forEach(tracker -> tracker.remove(id));
        }
    }

    private static int maxWithinWindow(List<PlacedJob> placed, double window) {
        int max = 0;
        for (PlacedJob first : placed) {
            int count = 0;
            for (PlacedJob other : placed) {
                boolean withinWindow = other.at() >= first.at() && other.at() < first.at() + window;
                if (withinWindow
                        && other.job().decodeEngine().equals(first.job().decodeEngine())) {
                    count++;
                }
            }
            max = Math.max(max, count);
        }
        return max;
    }
}
