package org.endivehold.relay.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.endivehold.relay.route.EngineProfile;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class RoomForecastTest {
    private static final EngineProfile PROFILE =
            new EngineProfile(2, 200_000, 34, 1.31, 0.000917, 0.00213, 154, 0.162, 2_048);
    private static final List<String> ENGINES = List.of("a", "b");

    private final JobTracker tracker = new JobTracker();
    private long nextNumber;

    @BeforeEach
    void register() {
        ENGINES.forEach(engine -> tracker.registerEngine(engine, PROFILE));
    }

    private void decode(String engine, long tokens, long outputTokens) {
        JobId id = new JobId("daemon", nextNumber++);
        tracker.add(
                new EngineJob(id, List.of(engine), List.of(tokens), tokens - outputTokens, outputTokens, 300, 250),
                0,
                1);
        tracker.firstToken(id, 0);
    }

    private double forecast(long tokens, double now) {
        return RoomForecast.millisUntilRoom(
                tracker, ENGINES, new PromptNeed(tokens - 100, 100, 3_000, 250, 0, 15_000), now);
    }

    /** A request that fits now and is predicted to wait would be refused while engines have room. */
    @Test
    void thereIsRoomNowAtIdleEngines() {
        assertEquals(0, forecast(150_000, 0));
        assertEquals(0, forecast(300_000, 0), "split between both");
        decode("a", 150_000, 1_000);
        assertEquals(0, forecast(150_000, 0), "at the other engine");
    }

    /** The caller of a refused request would come back too early or much too late. */
    @Test
    void roomIsExpectedWhenTheJobThatHoldsItEnds() {
        decode("a", 150_000, 1_000);
        decode("b", 150_000, 4_000);
        double first = forecast(150_000, 0);
        double both = forecast(300_000, 0);
        assertTrue(first > 0 && first < both, () -> "one engine after " + first + ", both after " + both);
        assertEquals(first - 500, forecast(150_000, 500), 1);
    }

    @Test
    void aSlotIsNeededToo() {
        for (int i = 0; i < 2; i++) {
            decode("a", 5_000, 1_000);
            decode("b", 5_000, 4_000);
        }
        double slot = forecast(5_000, 0);
        assertTrue(slot > 0 && Double.isFinite(slot), () -> "slot after " + slot);
    }

    /** A request that never fits would wait until it is late. */
    @Test
    void aRequestLargerThanAllEnginesNeverFits() {
        assertEquals(Double.POSITIVE_INFINITY, forecast(500_000, 0));
    }
}
