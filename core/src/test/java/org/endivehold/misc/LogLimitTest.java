package org.endivehold.misc;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LogLimitTest {
    private final LogLimit limit = new LogLimit();

    private int written(String kind, int events, long at) {
        int written = 0;
        for (int i = 0; i < events; i++) {
            written += limit.ask(kind, at).write() ? 1 : 0;
        }
        return written;
    }

    /** Pattern: a storm of one kind of event for a second. */
    @ParameterizedTest(name = "{0} events: {1} lines, {2} told of as dropped")
    @CsvSource({"1, 1, 0", "200, 200, 0", "201, 200, 1", "5000, 200, 4800"})
    void aStormIsCutAndCounted(int events, int lines, int dropped) {
        assertEquals(lines, written("request-ended", events, 5_500));
        assertEquals(1, written("zone-out", 1, 5_500), "another kind is not held back");
        assertEquals(new LogLimit.Verdict(true, dropped), limit.ask("request-ended", 6_000));
        assertEquals(new LogLimit.Verdict(true, 0), limit.ask("request-ended", 6_000), "told once");
    }
}
