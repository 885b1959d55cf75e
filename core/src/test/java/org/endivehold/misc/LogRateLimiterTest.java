package org.endivehold.misc;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LogRateLimiterTest {
    private final LogRateLimiter limiter = new LogRateLimiter();

    private int written(String kind, int events, long at) {
        int written = 0;
        for (int i = 0; i < events; i++) {
            written += limiter.admit(kind, at).write() ? 1 : 0;
        }
        return written;
    }

    /** A burst of one kind of event within a second: excess lines are dropped and counted. */
    @ParameterizedTest(name = "{0} events: {1} lines, {2} reported as dropped")
    @CsvSource({"1, 1, 0", "200, 200, 0", "201, 200, 1", "5000, 200, 4800"})
    void linesAboveTheLimitAreDroppedAndCounted(int events, int lines, int dropped) {
        assertEquals(lines, written("request-ended", events, 5_500));
        assertEquals(1, written("zone-out", 1, 5_500), "another kind is not held back");
        assertEquals(new LogRateLimiter.Verdict(true, dropped), limiter.admit("request-ended", 6_000));
        assertEquals(new LogRateLimiter.Verdict(true, 0), limiter.admit("request-ended", 6_000), "reported once");
    }
}
