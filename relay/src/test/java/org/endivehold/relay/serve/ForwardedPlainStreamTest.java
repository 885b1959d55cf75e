package org.endivehold.relay.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.buffer.Buffer;
import java.util.List;
import org.endivehold.relay.peer.PeerMessage;
import org.endivehold.relay.peer.PeerMessage.Header;
import org.endivehold.relay.peer.RelayNeighbour;
import org.endivehold.relay.peer.ScriptedNeighbour;
import org.endivehold.relay.serve.ScriptedUpstream.End;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Streams of a plain service that go by way of another daemon. One that breaks off inside an event must not look
 * complete there either, also if that daemon runs a version that holds such streams and sends them as a whole.
 */
class ForwardedPlainStreamTest {
    private static final String HEAD =
            "HTTP/1.1 200 OK\r\nattempt: ATTEMPT\r\nsignature: s\r\nContent-Type: text/event-stream\r\n";
    private static final String FIRST = "id: 1\ndata: a\n\n";
    private static final String SECOND = "id: 2\ndata: b\n\n";
    private static final String[] HEADERS = {"attempt: a", "remaining: 1400"};

    /** Events of one block, which take many turns of the event loop. */
    private static final int EVENTS = 15_000;

    private static RelayFixture cutOffRelay() throws Exception {
        RelayFixture relay = new RelayFixture();
        relay.closeAllUpstreams();
        relay.send("GET", "/safe/x", "", "attempt: before", "remaining: 1200");
        return relay;
    }

    @ParameterizedTest
    @CsvSource({
        "/feed/x,      '',        true,  1",
        "/feed-once/x, '',        true,  1",
        "/feed/x,      'id: 2\n', true,  2",
        "/feed-once/x, 'id: 2\n', false, 1",
    })
    void aStreamIsWholeOrBrokenOff(String path, String rest, boolean complete, int arrivals) throws Exception {
        String first = HEAD + "\r\n" + FIRST + rest;
        try (RelayFixture cutOff = cutOffRelay();
                RelayFixture other = new RelayFixture().replyFromAll(first, End.FIN)) {
            other.replyToLaterRequests(HEAD + "\r\n" + SECOND);
            RelayNeighbour neighbour = new RelayNeighbour(other.vertx(), "other", other.server()::offered);
            cutOff.neighbours.add(neighbour.entry());
            RawResponse response = cutOff.send("POST", path, "p", HEADERS);
            assertEquals(200, response.status(), response::bytes);
            assertEquals(complete, response.complete(), response::bytes);
            assertTrue(response.bytes().contains(FIRST), response::bytes);
            assertEquals(arrivals == 2, response.bytes().contains(SECOND), response::bytes);
            assertEquals(arrivals, other.arrivals());
        }
    }

    @ParameterizedTest
    @CsvSource({
        "/feed-once/x, 'id: 2\n', 502",
        "/unsafe/x,    'id: 2\n', 502",
        "/feed-once/x, '',        200",
        "/unsafe/x,    '',        200",
    })
    void aStreamThatAnOlderDaemonSendsAsAWholeIsChecked(String path, String rest, int status) throws Exception {
        try (RelayFixture relay = cutOffRelay()) {
            PeerMessage.ForwardedHead head = new PeerMessage.ForwardedHead(
                    200,
                    false,
                    List.of(
                            new Header("signature", "s"),
                            new Header("attempt", "a"),
                            new Header("content-type", "text/event-stream")));
            PeerMessage body = new PeerMessage.ForwardedBytes(Buffer.buffer(FIRST + rest));
            ScriptedNeighbour older =
                    new ScriptedNeighbour(relay.vertx(), "older", head, body, new PeerMessage.ForwardedEnd());
            relay.neighbours.add(older.entry());
            RawResponse response = relay.send("POST", path, "p", HEADERS);
            assertEquals(status, response.status(), response::bytes);
            assertFalse(status == 502 && response.bytes().contains("data: a"), response::bytes);
        }
    }

    /**
     * A block of many events is passed on in several turns of the event loop. The end of the stream, and then of the
     * connection, arrive before the last of them.
     */
    @ParameterizedTest
    @CsvSource({"/feed-once/x", "/once/x"})
    void aConnectionThatEndsAfterTheStreamDoesNotBreakItOff(String path) throws Exception {
        StringBuilder events = new StringBuilder();
        for (int id = 1; id <= EVENTS; id++) {
            events.append("id: ").append(id).append("\n\n");
        }
        try (RelayFixture relay = cutOffRelay()) {
            ScriptedNeighbour other = new ScriptedNeighbour(
                    relay.vertx(),
                    "other",
                    new PeerMessage.ForwardedHead(
                            200, true, List.of(new Header("signature", "s"), new Header("attempt", "a"))),
                    new PeerMessage.ForwardedBytes(Buffer.buffer(events.toString())),
                    new PeerMessage.ForwardedEnd());
            other.closeAfterAnswers();
            relay.neighbours.add(other.entry());
            RawResponse response = relay.send("POST", path, "p", HEADERS);
            assertTrue(response.complete(), response.head());
            assertEquals(events.toString(), response.body());
        }
    }
}
