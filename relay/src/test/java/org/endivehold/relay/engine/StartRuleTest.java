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

    private static Placement placement(double firstToken, double costToOthers, double ownCost) {
        return new Placement(List.of("engine"), List.of(1L), firstToken, costToOthers, ownCost);
    }

    private static PromptNeed need(long prompt, double target, double elapsed, double remaining) {
        return new PromptNeed(prompt, 1_000, target, 250, elapsed, remaining);
    }

    @ParameterizedTest(name = "{0}: weight 40, first event in {1} ms, cost to others {2}, own cost {3}: admitted {4}")
    @CsvSource({
        "on idle engines,                            1000,  0,  1, true",
        "makes ten short streams late,               1000,  15, 1, true",
        "makes all streams of the fleet late,        1000,  90, 1, false",
        "late itself on idle engines,                4500,  1,  50, true",
        "late itself and delays three short streams, 4500,  5,  50, false",
        "first event after its caller has left,      9700,  0,  80, false",
    })
    void aLongPromptIsAdmittedWhereItsCostToOthersIsAcceptable(
            String situation, double firstToken, double costToOthers, double ownCost, boolean admitted) {
        assertEquals(
                admitted,
                StartRule.admits(placement(firstToken, costToOthers, ownCost), need(LONG, 3_000, 0, 15_000)),
                situation);
    }

    /** A caller retries shortly before its deadline with a prompt whose prefill takes seconds. */
    @Test
    void aRequestThatCannotMeetItsDeadlineIsNotAdmitted() {
        Placement inFiveSeconds = placement(5_000, 0, 10);
        assertTrue(StartRule.admits(inFiveSeconds, need(LONG, 3_000, 0, 15_000)));
        assertEquals(false, StartRule.admits(inFiveSeconds, need(LONG, 3_000, 0, 1_600)));
    }

    @ParameterizedTest(name = "prompt {0}, target {1} ms, waited {2} ms, {3} ms left: refused {4}")
    @CsvSource({
        "5000,   300,  1400,  8600, false",
        "5000,   300,  1600,  8400, true",
        "5000,   300,  0,     90,   true",
        "390000, 3000, 2900,  12100, false",
        "390000, 3000, 3100,  11900, true",
        "390000, 3000, 100,   1500,  true",
    })
    void aRequestThatWaitedLongerThanItsTargetIsRefused(
            long prompt, double target, double waited, double left, boolean refused) {
        double prefill = prompt == SHORT ? 35 : 15_000;
        assertEquals(refused, StartRule.shouldRefuse(prefill, need(prompt, target, waited, left)));
    }
}
