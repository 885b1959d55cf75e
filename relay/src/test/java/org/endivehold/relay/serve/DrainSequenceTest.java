package org.endivehold.relay.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A daemon that stops with its port open loses what arrives between its last request and its end. So the port closes
 * before the stop is complete, whenever the last request ends.
 */
class DrainSequenceTest {
    private static final double STOPPED_AT = 1_000;
    private static final long GRACE_MILLIS = 8_000;

    @ParameterizedTest(name = "after {0} ms with {1} active requests: {2}, admits {3}")
    @CsvSource({
        "0, 0, LEAVING, true",
        "2600, 0, LEAVING, true",
        "2649, 0, LEAVING, true",
        "2650, 0, CLOSING, false",
        "2650, 1, LEAVING, true",
        "2959, 9, LEAVING, true",
        "2961, 9, REFUSING, false",
        "2961, 0, CLOSING, false",
        "7299, 1, REFUSING, false",
        "7300, 1, CLOSING, false",
    })
    void eachPhaseBeginsWhenItIsDue(double millis, int active, DrainSequence.Phase phase, boolean admits) {
        DrainSequence sequence = DrainSequence.begin(STOPPED_AT, GRACE_MILLIS);
        double now = STOPPED_AT + millis;
        assertEquals(phase, sequence.update(now, active));
        assertEquals(admits, sequence.admits(now));
    }

    @ParameterizedTest(name = "a closed port stays closed with {0} active requests")
    @CsvSource({"0", "1"})
    void noPhaseIsLeftBackwards(int active) {
        DrainSequence sequence = DrainSequence.begin(STOPPED_AT, GRACE_MILLIS);
        sequence.update(STOPPED_AT + 2_700, 0);
        assertEquals(DrainSequence.Phase.CLOSING, sequence.update(STOPPED_AT + 2_701, active));
    }

    @ParameterizedTest(name = "{0} ms after the signal, connections are cut in {1} ms")
    @CsvSource({"2700, 4900", "7300, 300", "9000, 0"})
    void connectionsAreCutBeforeTheEndOfTheGracePeriod(double millis, long untilCut) {
        DrainSequence sequence = DrainSequence.begin(STOPPED_AT, GRACE_MILLIS);
        assertEquals(untilCut, sequence.millisUntilCut(STOPPED_AT + millis));
    }

    @ParameterizedTest(name = "a daemon that does not stop admits requests at {0} ms")
    @CsvSource({"0", "100000000"})
    void aDaemonThatDoesNotStopServes(double now) {
        DrainSequence sequence = DrainSequence.serving();
        assertEquals(DrainSequence.Phase.SERVING, sequence.update(now, 0));
        assertEquals(true, sequence.admits(now));
    }
}
