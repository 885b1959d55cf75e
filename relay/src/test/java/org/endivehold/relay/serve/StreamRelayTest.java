package org.endivehold.relay.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.endivehold.relay.serve.ScriptedUpstream.End;
import org.junit.jupiter.api.Test;

/** Streams pass on complete events only, resume where the route allows it, and never look complete after a gap. */
class StreamRelayTest {
    private static final String HEAD = String.join(
            "\r\n",
            "HTTP/1.1 200 OK",
            "attempt: ATTEMPT",
            "signature: s",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
            "",
            "");
    private static final String[] HEADERS = {"attempt: a", "remaining: 5000", "prompt: 1000", "output: 100"};

    private static String event(int id) {
        return "id: " + id + "\ndata: piece-" + id + "\n\n";
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private static String events(int from, int to) {
        StringBuilder text = new StringBuilder();
        for (int id = from; id <= to; id++) {
            text.append(event(id));
        }
        return text.toString();
    }

    private static String completeStream(int from, int to) {
        return HEAD + chunk(events(from, to)) + "0\r\n\r\n";
    }

    /** Whichever engine gets the first request sends the first reply; the next request gets the second reply. */
    private static RelayFixture relay(String first, End end, String second) throws Exception {
        RelayFixture relay = new RelayFixture();
        relay.engines.get(0).reply(first, end);
        relay.engines.get(1).reply(first, end);
        relay.replyToSecondRequest(second);
        return relay;
    }

    @Test
    void eventsPassAsTheyAre() throws Exception {
        try (RelayFixture relay = new RelayFixture().replyFromAll(completeStream(1, 4), End.FIN)) {
            RawResponse response = relay.send("POST", "/stream/x", "p", HEADERS);
            assertEquals(events(1, 4), response.body());
            assertTrue(response.complete());
            assertTrue(response.head().contains("signature: s"));
            assertEquals(1, relay.arrivals());
        }
    }

    @Test
    void aStreamThatBreaksInsideAnEventGoesOnAtAnotherEngine() throws Exception {
        String broken = HEAD + chunk(events(1, 2) + "id: 3\nda");
        try (RelayFixture relay = relay(broken, End.RESET, completeStream(3, 5))) {
            RawResponse response = relay.send("POST", "/stream/x", "p", HEADERS);
            assertEquals(events(1, 5), response.body());
            assertTrue(response.complete());
            assertEquals(2, relay.arrivals());
            assertTrue(relay.requests().stream().anyMatch(request -> request.contains("last-event: 2\r\n")));
        }
    }

    /** An event without an id does not change the position from which a stream is resumed. */
    @Test
    void aStreamIsResumedAfterItsLastIdEvenIfAnEventWithoutOneFollowed() throws Exception {
        String comment = ": still working\n\n";
        String broken = HEAD + chunk(events(1, 2) + comment + "id: 3\nda");
        try (RelayFixture relay = relay(broken, End.RESET, completeStream(1, 5))) {
            RawResponse response = relay.send("POST", "/stream/x", "p", HEADERS);
            assertEquals(events(1, 2) + comment + events(3, 5), response.body());
            assertTrue(response.complete());
            assertTrue(relay.requests().stream().anyMatch(request -> request.contains("last-event: 2\r\n")));
        }
    }

    @Test
    void repeatedEventsAfterResumingAreDropped() throws Exception {
        String broken = HEAD + chunk(events(1, 3));
        try (RelayFixture relay = relay(broken, End.RESET, completeStream(2, 5))) {
            assertEquals(
                    events(1, 5), relay.send("POST", "/stream/x", "p", HEADERS).body());
        }
    }

    @Test
    void aGapAfterResumingNeverLooksComplete() throws Exception {
        String broken = HEAD + chunk(events(1, 2));
        try (RelayFixture relay = relay(broken, End.RESET, completeStream(4, 5))) {
            RawResponse response = relay.send("POST", "/stream/x", "p", HEADERS);
            assertFalse(response.complete());
            assertFalse(response.bytes().contains("piece-4"));
        }
    }

    @Test
    void aBrokenStreamIsNotResumedWhereTheRouteForbidsIt() throws Exception {
        String broken = HEAD + chunk(events(1, 2));
        try (RelayFixture relay = relay(broken, End.RESET, completeStream(3, 5))) {
            RawResponse response = relay.send("POST", "/once/x", "p", HEADERS);
            assertFalse(response.complete());
            assertEquals(1, relay.arrivals());
        }
    }

    @Test
    void anEngineThatIsFullIsLeftForAnother() throws Exception {
        String full = "HTTP/1.1 503 Full\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n";
        try (RelayFixture relay = relay(full, End.FIN, completeStream(1, 2))) {
            RawResponse response = relay.send("POST", "/once/x", "p", HEADERS);
            assertEquals(events(1, 2), response.body());
            assertEquals(2, relay.arrivals());
        }
    }

    @Test
    void anEngineStopsWhenItsCallerHasGone() throws Exception {
        try (RelayFixture relay = new RelayFixture().replyFromAll(HEAD + chunk(events(1, 1)), End.SILENT)) {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), relay.port())) {
                String request = RawResponse.request("POST", "/stream/x", "p", HEADERS);
                socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
                assertEquals('H', socket.getInputStream().read());
            }
            ScriptedUpstream engine =
                    relay.engines.get(0).requests().isEmpty() ? relay.engines.get(1) : relay.engines.get(0);
            assertTrue(engine.awaitClosed().startsWith("closed"));
        }
    }

    @Test
    void aPromptBeyondOneEngineReservesAndReleases() throws Exception {
        try (RelayFixture relay = new RelayFixture().replyFromAll(completeStream(1, 2), End.FIN)) {
            RawResponse response = relay.send(
                    "POST", "/stream/x", "p", "attempt: a", "remaining: 5000", "prompt: 110000", "output: 10");
            assertEquals(events(1, 2), response.body());
            assertEquals(2, relay.memoryCommands.size(), () -> relay.memoryCommands.toString());
            assertTrue(relay.memoryCommands.get(0).startsWith("reserve"));
            assertTrue(relay.memoryCommands.get(1).startsWith("release"));
            assertTrue(relay.requests().get(0).contains("\r\nhelpers: 127.0.0.1:"));
        }
    }

    @Test
    void aPromptThatAllEnginesTogetherCannotHoldIsRefusedAtOnce() throws Exception {
        try (RelayFixture relay = new RelayFixture()) {
            long startNanos = System.nanoTime();
            RawResponse response = relay.send(
                    "POST", "/stream/x", "p", "attempt: a", "remaining: 5000", "prompt: 900000", "output: 10");
            long millis = (System.nanoTime() - startNanos) / 1_000_000;
            assertEquals(503, response.status());
            assertTrue(millis < RelayFixture.TIMEOUT_MILLIS / 3, () -> millis + " ms");
            assertEquals(0, relay.arrivals());
        }
    }
}
