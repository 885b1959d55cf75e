package org.endivehold.relay.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.endivehold.relay.route.EngineProfile;
import org.junit.jupiter.api.Test;

class EngineLoadTest {
    private static final EngineProfile PROFILE = new EngineProfile(8, 400_000, 34, 1.3, 0, 0, 100, 0, 2_000);
    private final EngineLoad load = new EngineLoad(PROFILE);

    private static EngineJob job(long number, long tokens, String... engines) {
        List<Long> held = java.util.Collections.nCopies(engines.length, 0L);
        return new EngineJob(new JobId("d", number), List.of(engines), held, tokens, 100, 1_000, 500);
    }

    @Test
    void aNewerSplitPrefillRunsBeforeAnOlderOne() {
        load.add(job(1, 200_000, "a", "b"), "a", 0, 1);
        assertEquals(0, load.startDelayMillis(100, true), 1e-9);
        load.add(job(2, 80_000, "a", "b"), "a", 100, 1);
        EngineTask older = task(1);
        assertEquals(1_300, older.untilDoneMillis(100), 1e-9);
        assertEquals(400, task(2).untilDoneMillis(100), 1e-9);
    }

    @Test
    void aWholePromptWaitsBehindAllPendingPrefills() {
        load.add(job(1, 100_000, "a", "b"), "a", 0, 1);
        load.add(job(2, 30_000, "a"), "a", 0, 1);
        assertEquals(500 + 300, load.startDelayMillis(0, false), 1e-9);
    }

    @Test
    void aPrefillThatTheCurrentPassFinishesIsNotPreempted() {
        load.add(job(1, 1_000, "a"), "a", 0, 1);
        load.firstToken(new JobId("d", 1), "a");
        load.add(job(2, 20_000, "a"), "a", 0, 1);
        double afterStart = load.passMillis() / 2 + 1;
        assertTrue(task(2).started(afterStart));
        assertEquals(
                load.passMillis() / 2 + task(2).leftMillis(afterStart), load.startDelayMillis(afterStart, true), 1e-9);
    }

    @Test
    void helpersDropATaskAfterItsPrefill() {
        load.add(job(1, 100_000, "b", "a"), "a", 0, 1);
        load.firstToken(new JobId("d", 1), "a");
        assertTrue(load.idle());
    }

    private EngineTask task(long number) {
        for (EngineTask task : load.tasks()) {
            if (task.job.id().number() == number) {
                return task;
            }
        }
        throw new AssertionError("no task " + number);
    }
}
