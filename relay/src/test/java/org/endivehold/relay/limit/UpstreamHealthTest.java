package org.endivehold.relay.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class UpstreamHealthTest {
    private final UpstreamHealth health = new UpstreamHealth();

    @Test
    void eachConsecutiveFailureEjectsForLonger() {
        health.recordFailure("a", 0);
        assertTrue(health.ejected("a", 599));
        assertFalse(health.ejected("a", 600));
        health.recordFailure("a", 600);
        assertTrue(health.ejected("a", 1_799));
        assertFalse(health.ejected("a", 1_800));
    }

    @Test
    void anAnswerEndsTheEjection() {
        health.recordFailure("a", 0);
        health.recordAnswer("a", 10);
        assertFalse(health.ejected("a", 11));
    }

    /** A daemon with a broken path reports sound engines as failed; the others must not leave them alone for it. */
    @Test
    void aReportOfAnotherDaemonIsRefutedByWhatTheUpstreamSendsHere() {
        health.ejectReported("a", 500, 0);
        assertTrue(health.ejected("a", 10));
        health.recordActivity("a", 20);
        assertFalse(health.ejected("a", 21));
        health.recordFailure("a", 30);
        health.recordActivity("a", 40);
        assertTrue(health.ejected("a", 41), "a failure that this daemon saw itself");
    }

    @Test
    void failureAnswersRaiseTheFailureRateWithoutEjecting() {
        health.recordFailureAnswer("a", 0);
        health.recordFailureAnswer("a", 1);
        double failureRate = health.failureRate("a", 2);
        assertTrue(failureRate > 0.4);
        assertFalse(health.ejected("a", 2));
        assertTrue(health.failureRate("a", 20_000) < 0.05);
    }

    @Test
    void slowdownDecays() {
        health.slowdown("a", 5, 0);
        health.slowdown("a", 5, 10);
        assertTrue(health.slowdown("a", 20) > 2);
        assertEquals(1, health.slowdown("a", 60_000), 0.01);
    }

    @Test
    void silenceIsMeasuredFromTheLastActivity() {
        assertEquals(Double.POSITIVE_INFINITY, health.silentMillis("a", 5));
        health.recordActivity("a", 100);
        assertEquals(50, health.silentMillis("a", 150));
    }
}
