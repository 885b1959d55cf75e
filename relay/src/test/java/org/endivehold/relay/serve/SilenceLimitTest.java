package org.endivehold.relay.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.endivehold.relay.engine.PromptNeed;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The limit includes the pending prefills of an engine, but never exceeds the time after which callers give up. */
class SilenceLimitTest {
    @ParameterizedTest(name = "aims {0} and {1} ms, first predicted after {2} ms, reads of {3} ms: {4} and {5} ms")
    @CsvSource({
        "300,  250,  100,  0,    1200, 1200",
        "300,  250,  100,  300,  1500, 1500",
        "300,  250,  100,  5000, 1600, 1600",
        "1500, 600,  400,  500,  2300, 1700",
        "3000, 1000, 4000, 0,    9000, 2000",
        "3000, 1000, 4000, 9000, 9600, 9600",
    })
    void waitsForKnownReadsButNotLongerThanTheCaller(
            double first, double gap, double predicted, double prefill, double beforeFirst, double between) {
        PromptNeed need = new PromptNeed(1_000, 100, first, gap, 0, 15_000);
        assertEquals(beforeFirst, SilenceLimit.beforeFirst(need, predicted, prefill), 1e-9);
        assertEquals(between, SilenceLimit.betweenEvents(need, prefill), 1e-9);
    }
}
