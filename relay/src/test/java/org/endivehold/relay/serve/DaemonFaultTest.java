package org.endivehold.relay.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.buffer.Buffer;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.endivehold.relay.peer.PeerMessage;
import org.endivehold.relay.peer.PeerMessage.Header;
import org.endivehold.relay.peer.PeerStream;
import org.endivehold.relay.peer.RelayNeighbour;
import org.endivehold.relay.peer.ScriptedNeighbour;
import org.endivehold.relay.serve.ScriptedUpstream.End;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * An exception before the timeout of a request has started. It only reached the event loop, so the request was neither
 * answered nor closed.
 */
class DaemonFaultTest {
    private static final String GOOD =
            "HTTP/1.1 200 OK\r\nattempt: ATTEMPT\r\nsignature: s\r\nContent-Length: 2\r\n\r\nok";

    private static final List<Header> SEALED = List.of(new Header("signature", "s"), new Header("attempt", "a"));
    private static final String FIRST = "id: 1\ndata: a\n\n";
    private static final String SECOND = "id: 2\ndata: b\n\n";

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

    /** The daemon that has the request cannot say what became of it, so the first daemon asks the next one. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aStreamGoesOnElsewhereAfterAFaultOfAnotherDaemon(boolean begun) throws Exception {
        try (RelayFixture cutOff = new RelayFixture();
                RelayFixture other = new RelayFixture()) {
            cutOff.closeAllUpstreams();
            cutOff.send("GET", "/safe/x", "", "attempt: before", "remaining: 1200");
            ScriptedNeighbour next = new ScriptedNeighbour(
                    cutOff.vertx(),
                    "next",
                    new PeerMessage.ForwardedHead(200, true, SEALED),
                    new PeerMessage.ForwardedBytes(Buffer.buffer(begun ? SECOND : FIRST + SECOND)),
                    new PeerMessage.ForwardedEnd());
            RelayNeighbour faulty = new RelayNeighbour(other.vertx(), "faulty", (offer, stream) -> {
                stream.handle(
                        message -> {
                            if (message instanceof PeerMessage.ForwardedRequest) {
                                cutOff.neighbours.add(next.entry());
                                serveWithFault(other, stream, begun);
                            }
                        },
                        () -> {});
                stream.send(new PeerMessage.ForwardAccepted());
            });
            cutOff.neighbours.add(faulty.entry());
            RawResponse response =
                    cutOff.send("POST", "/stream/x", "p", "attempt: a", "remaining: 1200", "prompt: 1000");
            assertTrue(response.complete(), response::bytes);
            assertEquals(FIRST + SECOND, response.body());
        }
    }

    private static void serveWithFault(RelayFixture relay, PeerStream stream, boolean begun) {
        CallerRequestHead head = new CallerRequestHead(
                "a", OptionalLong.empty(), Optional.empty(), 0, 0, List.of(), OptionalLong.empty());
        Exchange exchange = new Exchange(relay.context(), new ForwardResponseChannel(stream), head, () -> {});
        exchange.admit(relay.table().orElseThrow().route("h", "/stream/x").orElseThrow(), Optional.empty(), () -> {});
        exchange.runGuarded(() -> {
            if (begun) {
                exchange.beginStream(200, ForwardedHeaders.fromMessage(SEALED));
                exchange.writeEvent(Buffer.buffer(FIRST));
                exchange.flushEvents();
            }
            throw new IllegalStateException("a fault of this daemon");
        });
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
