package org.endivehold.relay.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class UpstreamHealthTest {
    private final UpstreamHealth health = new UpstreamHealth();

    @Test
    void anUpstreamThatFailsIsLeftOutForLongerEachTime() {
        health.failed("a", 0);
        assertTrue(health.ejected("a", 599));
        assertFalse(health.ejected("a", 600));
        health.failed("a", 600);
        assertTrue(health.ejected("a", 1_799));
        assertFalse(health.ejected("a", 1_800));
    }

    @Test
    void aSuccessBringsItBack() {
        health.failed("a", 0);
        health.answered("a", 10);
        assertFalse(health.ejected("a", 11));
    }

    @Test
    void anUpstreamThatFailsSometimesGetsLessAttractive() {
        health.answeredWithFailure("a", 0);
        health.answeredWithFailure("a", 1);
        double failing = health.failing("a", 2);
        assertTrue(failing > 0.4);
        assertFalse(health.ejected("a", 2));
        assertTrue(health.failing("a", 20_000) < 0.05);
    }

    @Test
    void paceIsForgottenInTime() {
        health.pace("a", 5, 0);
        health.pace("a", 5, 10);
        assertTrue(health.pace("a", 20) > 2);
        assertEquals(1, health.pace("a", 60_000), 0.01);
    }

    @Test
    void whoHeardAnEngineKnowsThatItLives() {
        assertEquals(Double.POSITIVE_INFINITY, health.silentMillis("a", 5));
        health.heard("a", 100);
        assertEquals(50, health.silentMillis("a", 150));
    }
}
