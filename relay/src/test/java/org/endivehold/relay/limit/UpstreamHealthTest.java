package org.endivehold.relay.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class UpstreamHealthTest {
    private final UpstreamHealth health = new UpstreamHealth();

    @Test
    void eachConsecutiveFailureEjectsForLonger() {
        health.failed("a", 0);
        assertTrue(health.ejected("a", 599));
        assertFalse(health.ejected("a", 600));
        health.failed("a", 600);
        assertTrue(health.ejected("a", 1_799));
        assertFalse(health.ejected("a", 1_800));
    }

    @Test
    void anAnswerEndsTheEjection() {
        health.failed("a", 0);
        health.answered("a", 10);
        assertFalse(health.ejected("a", 11));
    }

    @Test
    void failureAnswersRaiseTheFailureRateWithoutEjecting() {
        health.answeredWithFailure("a", 0);
        health.answeredWithFailure("a", 1);
        double failureRate = health.failing("a", 2);
        assertTrue(failureRate > 0.4);
        assertFalse(health.ejected("a", 2));
        assertTrue(health.failing("a", 20_000) < 0.05);
    }

    @Test
    void slowdownDecays() {
        health.pace("a", 5, 0);
        health.pace("a", 5, 10);
        assertTrue(health.pace("a", 20) > 2);
        assertEquals(1, health.pace("a", 60_000), 0.01);
    }

    @Test
    void silenceIsMeasuredFromTheLastActivity() {
        assertEquals(Double.POSITIVE_INFINITY, health.silentMillis("a", 5));
        health.heard("a", 100);
        assertEquals(50, health.silentMillis("a", 150));
    }
}
