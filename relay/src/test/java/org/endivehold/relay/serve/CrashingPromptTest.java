package org.endivehold.relay.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.endivehold.relay.serve.ScriptedUpstream.End;
import org.junit.jupiter.api.Test;

/** Prompts with one part that ends every engine which begins to answer them. */
class CrashingPromptTest {
    private static final int ENGINES = 24;
    private static final int REQUESTS = 8;
    /** Most engines that such prompts may end: five until the part is known, and three that are on their way. */
    private static final int MAX_ENDED = 8;

    private static String[] headers(String attempt, String parts) {
        return new String[] {"attempt: " + attempt, "remaining: 5000", "prompt: 1000", "output: 100", "parts: " + parts
        };
    }

    /** Guards against requests of one kind that end engine after engine, each request as many as it gets attempts. */
    @Test
    void requestsWithOnePartStopEndingEngines() throws Exception {
        try (RelayFixture relay = new RelayFixture(ENGINES).replyFromAll("", End.CRASH)) {
            for (int i = 0; i < REQUESTS; i++) {
                RawResponse response = relay.send("POST", "/stream/x", "p", headers("a" + i, "common,crashing"));
                assertTrue(response.status() == 502 || response.status() == 503, response::head);
            }
            assertTrue(relay.arrivals() <= MAX_ENDED, () -> relay.arrivals() + " engines were ended");
        }
    }

    /** Guards against a lost request that is sent to another engine although its prompt is suspected already. */
    @Test
    void aRequestWhosePartEndedAnotherEngineBeforeGetsOneAttempt() throws Exception {
        try (RelayFixture relay = new RelayFixture(ENGINES).replyFromAll("", End.CRASH)) {
            relay.send("POST", "/stream/x", "p", headers("a1", "common,crashing"));
            assertEquals(2, relay.arrivals(), "the first request is sent again, since one crash may be a coincidence");
            relay.send("POST", "/stream/x", "p", headers("a2", "common,crashing"));
            assertEquals(3, relay.arrivals());
        }
    }
}
