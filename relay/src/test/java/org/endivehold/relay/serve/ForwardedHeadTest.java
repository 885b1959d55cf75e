package org.endivehold.relay.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.endivehold.error.ErrorType;
import org.endivehold.relay.peer.PeerMessage;
import org.endivehold.relay.peer.PeerMessage.Header;
import org.endivehold.relay.peer.ScriptedNeighbour;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against answers that come by way of another daemon, whose version may still pass on an invalid head of an
 * upstream. They count as lost at that daemon, and no part of them reaches a caller.
 */
class ForwardedHeadTest {
    private static final Header SEAL = new Header("signature", "s");
    private static final Header ATTEMPT = new Header("attempt", "a");
    private static final String[] HEADERS = {"attempt: a", "remaining: 1400", "prompt: 1000", "output: 100"};

    private static Stream<Arguments> cases() {
        List<Arguments> cases = new ArrayList<>();
        for (String path : List.of("/safe/x", "/unsafe/x", "/stream/x", "/once/x")) {
            for (int status : new int[] {0, 99, 101, 102, 199, 600, 999, -200, 2000}) {
                cases.add(Arguments.of(path, status, new Header("x", "1")));
            }
            for (String name : List.of("x bad", "x-bad ", "x\u0001bad", "x\nbad", "x:bad", "")) {
                cases.add(Arguments.of(path, 200, new Header(name, "evil")));
            }
            for (String value : List.of("ev\u0000il", "ev\ril", "evil\nx-bad: 1", "ev\u007fil")) {
                cases.add(Arguments.of(path, 200, new Header("x-bad", value)));
            }
        }
        return cases.stream();
    }

    private static boolean isPlain(String path) {
        return path.equals("/safe/x") || path.equals("/unsafe/x");
    }

    private static boolean mayRunAgain(String path) {
        return path.equals("/safe/x") || path.equals("/stream/x");
    }

    private static String body(String path, String text) {
        return isPlain(path) ? text : "id: 1\ndata: " + text + "\n\n";
    }

    private static ScriptedNeighbour neighbour(
            RelayFixture relay, String name, String path, int status, Header header, String text) throws Exception {
        PeerMessage.ForwardedHead head =
                new PeerMessage.ForwardedHead(status, !isPlain(path), List.of(SEAL, ATTEMPT, header));
        PeerMessage body = new PeerMessage.ForwardedBytes(Buffer.buffer(body(path, text)));
        return new ScriptedNeighbour(relay.vertx(), name, head, body, new PeerMessage.ForwardedEnd());
    }

    private static RelayFixture cutOffRelay() throws Exception {
        RelayFixture relay = new RelayFixture();
        relay.closeAllUpstreams();
        relay.send("GET", "/safe/x", "", "attempt: before", "remaining: 1200");
        return relay;
    }

    @ParameterizedTest(name = "{0}, {1}, {index}")
    @MethodSource("cases")
    void anInvalidHeadIsALostAttempt(String path, int status, Header header) throws Exception {
        try (RelayFixture relay = cutOffRelay()) {
            ScriptedNeighbour broken = neighbour(relay, "broken", path, status, header, "evil");
            ScriptedNeighbour sound = neighbour(relay, "sound", path, 200, new Header("x", "1"), "good");
            relay.neighbours.add(broken.entry());
            broken.onRequest(() -> relay.neighbours.add(sound.entry()));
            RawResponse response = relay.send("POST", path, "p", HEADERS);
            assertEquals(mayRunAgain(path) ? 200 : 502, response.status(), response::bytes);
            assertEquals(mayRunAgain(path), response.body().contains("good"), response::bytes);
            assertFalse(response.bytes().contains("evil"), response::bytes);
            assertTrue(response.complete());
            assertEquals(1, broken.requests());
            assertEquals(mayRunAgain(path) ? 1 : 0, sound.requests());
            assertEquals(1, relay.invalidAnswers());
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 102, 600})
    void aFailureWithAnInvalidStatusIsALostAttempt(int status) throws Exception {
        try (RelayFixture relay = cutOffRelay()) {
            ScriptedNeighbour broken = new ScriptedNeighbour(
                    relay.vertx(), "broken", new PeerMessage.ForwardedFailure(status, ErrorType.UPSTREAM_BROKEN, 0));
            relay.neighbours.add(broken.entry());
            RawResponse response = relay.send("POST", "/unsafe/x", "p", HEADERS);
            assertEquals(502, response.status(), response::bytes);
            assertEquals(1, broken.requests());
            assertEquals(1, relay.invalidAnswers());
        }
    }
}
