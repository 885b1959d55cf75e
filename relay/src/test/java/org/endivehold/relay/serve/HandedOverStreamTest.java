package org.endivehold.relay.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.buffer.Buffer;
import java.util.List;
import java.util.stream.Stream;
import org.endivehold.error.ErrorType;
import org.endivehold.relay.peer.PeerMessage;
import org.endivehold.relay.peer.PeerMessage.ForwardedBytes;
import org.endivehold.relay.peer.PeerMessage.ForwardedEnd;
import org.endivehold.relay.peer.PeerMessage.ForwardedFailure;
import org.endivehold.relay.peer.PeerMessage.ForwardedHead;
import org.endivehold.relay.peer.PeerMessage.Header;
import org.endivehold.relay.peer.ScriptedNeighbour;
import org.endivehold.relay.serve.ScriptedUpstream.End;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * A stream has begun, this daemon loses its upstreams, and the daemon that takes the rest answers with something else.
 * Such a stream stayed open for ever: the request counted as ended, but nothing closed its connection.
 */
class HandedOverStreamTest {
    private static final String SEALED = "HTTP/1.1 200 OK\r\nattempt: ATTEMPT\r\nsignature: s\r\n";
    private static final String EVENTS = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    private static final String[] HEADERS = {"attempt: a", "remaining: 5000", "prompt: 1000", "output: 100"};
    private static final ForwardedEnd END = new ForwardedEnd();

    private static ForwardedHead head(int status, boolean stream) {
        return new ForwardedHead(status, stream, List.of(new Header("signature", "s"), new Header("attempt", "a")));
    }

    private static ForwardedBytes bytes(String text) {
        return new ForwardedBytes(Buffer.buffer(text));
    }

    private static Arguments row(String name, PeerMessage... answer) {
        return Arguments.of(name, answer);
    }

    static Stream<Arguments> answers() {
        return Stream.of(
                row("an engine's failure", head(500, false), bytes("{\"error\":\"odd\"}"), END),
                row("a failure without a body", head(500, false), END),
                row("a whole answer", head(200, false), bytes("id: 3\ndata: c\n\n"), END),
                row("a wrong request", head(400, false), bytes("no"), END),
                row("not run", head(503, false), END),
                row("the other daemon's failure", new ForwardedFailure(504, ErrorType.DEADLINE_EXCEEDED, 0)),
                row("the other daemon's refusal", new ForwardedFailure(503, ErrorType.NO_UPSTREAM, 500)),
                row("an empty stream", head(200, true), END),
                row("a stream without ids", head(200, true), bytes("data: c\n\n"), END),
                row("a gap", head(200, true), bytes("id: 9\ndata: i\n\n"), END),
                row("only what came before", head(200, true), bytes("id: 1\ndata: a\n\n"), END),
                row("the end without a head", END));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("answers")
    void aHandedOverStreamThatIsNotContinuedIsBrokenOff(String name, PeerMessage... answer) throws Exception {
        try (RelayFixture relay = new RelayFixture()) {
            ScriptedNeighbour neighbour = new ScriptedNeighbour(relay.vertx(), "other", answer);
            RawResponse response = loseUpstreamsInStream(relay, neighbour);
            assertEquals(1, neighbour.requests());
            assertFalse(response.reset(), "no end within the time limit");
            assertEquals(200, response.status());
            assertFalse(response.complete(), response.bytes());
            assertEquals(EVENTS, eventsOf(response));
        }
    }

    /** What is whole goes on as before: the caller gets one stream from both daemons. */
    @ParameterizedTest(name = "from event {0}")
    @MethodSource("continuations")
    void aHandedOverStreamGoesOnAtTheOtherDaemon(int first, String rest) throws Exception {
        try (RelayFixture relay = new RelayFixture()) {
            ScriptedNeighbour neighbour =
                    new ScriptedNeighbour(relay.vertx(), "other", head(200, true), bytes(rest), END);
            RawResponse response = loseUpstreamsInStream(relay, neighbour);
            assertTrue(response.complete(), response.bytes());
            assertEquals(EVENTS + "id: 3\ndata: c\n\n", response.body());
        }
    }

    static Stream<Arguments> continuations() {
        return Stream.of(Arguments.of(3, "id: 3\ndata: c\n\n"), Arguments.of(1, EVENTS + "id: 3\ndata: c\n\n"));
    }

    /** Sends a request; its engine sends two events and breaks off, and no upstream is reached any more. */
    private static RawResponse loseUpstreamsInStream(RelayFixture relay, ScriptedNeighbour neighbour) throws Exception {
        relay.neighbours.add(neighbour.entry());
        String begun = SEALED + "Content-Length: 1000\r\n\r\n" + EVENTS;
        relay.engines.forEach(engine -> {
            engine.reply(begun, End.RESET);
            engine.onRequest(relay::closeAllUpstreams);
        });
        return relay.send("POST", "/stream/x", "p", HEADERS);
    }

    private static String eventsOf(RawResponse response) {
        String body = response.bytes().substring(response.bytes().indexOf("\r\n\r\n") + 4);
        return body.replaceFirst("(?s)^[0-9a-f]+\r\n(.*)\r\n$", "$1");
    }
}
