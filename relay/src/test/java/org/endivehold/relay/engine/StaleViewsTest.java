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

/** Many daemons that hear of each other's requests late do not all choose the same engine. */
class StaleViewsTest {
    private static final EngineProfile PROFILE =
            new EngineProfile(8, 405_000, 34, 1.31, 0.0013, 0.00213, 154, 0.162, 2_048);
    private static final PromptNeed SHORT = new PromptNeed(5_000, 1_300, 309, 250, 0, 15_000);
    private static final double WRITING_MILLIS = 1_700;

    private record Told(double at, EngineJob job) {}

    @ParameterizedTest(name = "{0} daemons, {1} engines, {2} requests a second, told after {3} ms")
    @CsvSource({"6, 16, 56, 10", "60, 54, 60, 45", "82, 78, 90, 50", "400, 1000, 900, 60"})
    void aSurgeOfShortPromptsMeetsWithinItsAim(int daemons, int engines, int perSecond, double lag) {
        List<EngineBoard> boards = new ArrayList<>();
        for (int d = 0; d < Math.min(daemons, 60); d++) {
            EngineBoard board = new EngineBoard();
            for (int e = 0; e < engines; e++) {
                board.engine("engine-" + e, PROFILE);
            }
            boards.add(board);
        }
        Random random = new Random(1);
        Deque<Told> untold = new ArrayDeque<>();
        Deque<Told> running = new ArrayDeque<>();
        List<Told> placed = new ArrayList<>();
        for (int i = 0; i < 2 * perSecond && i < 400; i++) {
            double now = i * 1_000.0 / perSecond;
            tell(boards, untold, now - lag);
            end(boards, running, now - WRITING_MILLIS);
            int self = random.nextInt(boards.size());
            Placement placement = EnginePlacement.place(boards.get(self), candidates(self, engines), SHORT, now)
                    .orElseThrow();
            EngineJob job = new EngineJob(
                    new JobId("d" + self, i),
                    placement.engines(),
                    placement.heldTokens(),
                    SHORT.promptTokens(),
                    SHORT.outputTokens(),
                    SHORT.firstAimMillis(),
                    SHORT.gapAimMillis());
            boards.get(self).add(job, now, 1);
            Told told = new Told(now, job);
            untold.add(told);
            running.add(told);
            placed.add(told);
        }
        double pass = PROFILE.passMillis(PROFILE.slots(), 0);
        int most = mostTogether(placed, pass);
        double first = pass / 2 + most * PROFILE.prefillMillis(SHORT.promptTokens(), 1) + 2 * pass;
        assertTrue(first <= SHORT.firstAimMillis(), () -> most + " requests reached one engine within one pass");
    }

    private static List<EngineCandidate> candidates(int self, int engines) {
        List<EngineCandidate> candidates = new ArrayList<>();
        for (int e = 0; e < engines; e++) {
            String id = "engine-" + e;
            double preference = (MurmurHash3.hash32x86((self + "/" + id).getBytes(StandardCharsets.UTF_8)) >>> 1)
                    / (double) Integer.MAX_VALUE;
            candidates.add(new EngineCandidate(id, 1, 0, preference));
        }
        return candidates;
    }

    private static void tell(List<EngineBoard> boards, Deque<Told> untold, double until) {
        while (!untold.isEmpty() && untold.peekFirst().at() <= until) {
            Told told = untold.removeFirst();
            for (EngineBoard board : boards) {
                board.add(told.job(), told.at(), 1);
                board.firstToken(told.job().id());
            }
        }
    }

    private static void end(List<EngineBoard> boards, Deque<Told> running, double until) {
        while (!running.isEmpty() && running.peekFirst().at() <= until) {
            JobId id = running.removeFirst().job().id();
            boards.forEach(board -> board.remove(id));
        }
    }

    private static int mostTogether(List<Told> placed, double window) {
        int most = 0;
        for (Told first : placed) {
            int count = 0;
            for (Told other : placed) {
                boolean together = other.at() >= first.at() && other.at() < first.at() + window;
                if (together && other.job().writer().equals(first.job().writer())) {
                    count++;
                }
            }
            most = Math.max(most, count);
        }
        return most;
    }
}
