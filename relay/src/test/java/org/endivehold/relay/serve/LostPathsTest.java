package org.endivehold.relay.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** A daemon that reaches no upstream, and has no neighbour that does. */
class LostPathsTest {
    /** Such requests waited for a connection to one upstream after the other. */
    @Test
    void aRequestThatNoDaemonCanDeliverIsRefusedAtOnce() throws Exception {
        try (RelayFixture relay = new RelayFixture(4)) {
            relay.closeAllUpstreams();
            relay.send("GET", "/safe/x", "", "attempt: a1", "remaining: 1200");
            for (String path : List.of("/safe/x", "/unsafe/x", "/stream/x")) {
                long startNanos = System.nanoTime();
                RawResponse response = relay.send("POST", path, "x", "attempt: a2", "remaining: 1200", "prompt: 10");
                long millis = (System.nanoTime() - startNanos) / 1_000_000;
                assertEquals(503, response.status());
                assertTrue(response.head().contains("retry-after"));
                assertTrue(millis < 400, () -> millis + " ms");
            }
            assertEquals(0, relay.arrivals());
        }
    }
}
