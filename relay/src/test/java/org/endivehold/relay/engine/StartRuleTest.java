package org.endivehold.relay.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class StartRuleTest {
    private static final int SHORT = 5_000;
    private static final int LONG = 390_000;

    private static Placement placement(double first, double harm, double risk) {
        return new Placement(List.of("engine"), List.of(1L), first, harm, risk);
    }

    private static PromptNeed need(long prompt, double aim, double elapsed, double remaining) {
        return new PromptNeed(prompt, 1_000, aim, 250, elapsed, remaining);
    }

    @ParameterizedTest(name = "{0}: weight 40, first event in {1} ms, harm {2}, risk {3}: starts {4}")
    @CsvSource({
        "on free engines,                     1000,  0,  1, true",
        "ten short streams become late,       1000,  15, 1, true",
        "all streams of the fleet,            1000,  90, 1, false",
        "late itself on free engines,         4500,  1,  50, true",
        "late itself and in the way of three, 4500,  5,  50, false",
        "after its caller has left,           9700,  0,  80, false",
    })
    void aLongPromptStartsWhereItHarmsLessThanItIsWorth(
            String pattern, double first, double harm, double risk, boolean starts) {
        assertEquals(starts, StartRule.starts(placement(first, harm, risk), need(LONG, 3_000, 0, 15_000)), pattern);
    }

    /** Pattern: a caller comes back shortly before its deadline with a prompt that takes seconds to read. */
    @Test
    void nothingStartsThatCannotEndInTime() {
        Placement inFiveSeconds = placement(5_000, 0, 10);
        assertTrue(StartRule.starts(inFiveSeconds, need(LONG, 3_000, 0, 15_000)));
        assertEquals(false, StartRule.starts(inFiveSeconds, need(LONG, 3_000, 0, 1_600)));
    }

    @ParameterizedTest(name = "prompt {0}, aim {1} ms, waited {2} ms, {3} ms left: refused {4}")
    @CsvSource({
        "5000,   300,  1400,  8600, false",
        "5000,   300,  1600,  8400, true",
        "5000,   300,  0,     90,   true",
        "390000, 3000, 2900,  12100, false",
        "390000, 3000, 3100,  11900, true",
        "390000, 3000, 100,   1500,  true",
    })
    void whoHasWaitedForTheAimComesBackLater(long prompt, double aim, double waited, double left, boolean refused) {
        double read = prompt == SHORT ? 35 : 15_000;
        assertEquals(refused, StartRule.waitedEnough(read, need(prompt, aim, waited, left)));
    }
}
