package org.endivehold.relay.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import org.endivehold.relay.peer.RelayNeighbour;
import org.endivehold.relay.serve.ScriptedUpstream.End;
import org.junit.jupiter.api.Test;

/**
 * An exception before the timeout of a request has started. It only reached the event loop, so the request was neither
 * answered nor closed.
 */
class DaemonFaultTest {
    private static final String GOOD =
            "HTTP/1.1 200 OK\r\nattempt: ATTEMPT\r\nsignature: s\r\nContent-Length: 2\r\n\r\nok";

    @Test
    void aRequestWhoseHeadIsNotHandledIsClosed() throws Exception {
        try (RelayFixture relay = new RelayFixture().replyFromAll(GOOD, End.FIN)) {
            RawResponse response = relay.send("POST", "/unsafe/x", "p", "attempt: a", "faulty: 1");
            assertEquals("", response.bytes());
            assertFalse(response.reset(), "no end within the time limit");
            assertEquals(200, relay.send("POST", "/unsafe/x", "p", "attempt: b").status());
        }
    }

    @Test
    void aRequestThatIsNotDispatchedFails() throws Exception {
        try (RelayFixture relay = new RelayFixture()) {
            relay.failingDispatch = true;
            RawResponse response = relay.send("POST", "/unsafe/x", "p", "attempt: a");
            assertEquals(502, response.status(), response::bytes);
        }
    }

    @Test
    void aRequestThatAnotherDaemonDoesNotDispatchFails() throws Exception {
        try (RelayFixture cutOff = new RelayFixture();
                RelayFixture other = new RelayFixture()) {
            cutOff.closeAllUpstreams();
            cutOff.send("GET", "/safe/x", "", "attempt: before", "remaining: 1200");
            RelayNeighbour neighbour = new RelayNeighbour(other.vertx(), "other", (offer, stream) -> {
                other.server().offered(offer, stream);
                other.failingDispatch = true;
            });
            cutOff.neighbours.add(neighbour.entry());
            RawResponse accepted = cutOff.send("POST", "/unsafe/x", "p", "attempt: a", "remaining: 1200");
            assertEquals(502, accepted.status(), accepted::bytes);
            RawResponse offered = cutOff.send("POST", "/unsafe/x", "p", "attempt: b", "remaining: 1200");
            assertEquals(503, offered.status(), offered::bytes);
            assertEquals(0, other.arrivals());
        }
    }
}
