package org.endivehold.relay.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.endivehold.relay.serve.ScriptedUpstream.End;
import org.junit.jupiter.api.Test;

/** Streams: whole events only, resumed where the route allows it, never joined wrongly, never falsely complete. */
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
    private static final String[] ASK = {"attempt: a", "remaining: 5000", "prompt: 1000", "output: 100"};

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

    private static String whole(int from, int to) {
        return HEAD + chunk(events(from, to)) + "0\r\n\r\n";
    }

    /** The first of two replies goes to whichever engine is asked first, the second to the other. */
    private static RelayFixture relay(String first, End end, String second) throws Exception {
        RelayFixture relay = new RelayFixture();
        relay.engines.get(0).reply(first, end);
        relay.engines.get(1).reply(first, end);
        relay.onSecondArrival(second);
        return relay;
    }

    @Test
    void eventsPassAsTheyAre() throws Exception {
        try (RelayFixture relay = new RelayFixture().first(whole(1, 4), End.FIN)) {
            RawAnswer answer = relay.send("POST", "/stream/x", "p", ASK);
            assertEquals(events(1, 4), answer.body());
            assertTrue(answer.complete());
            assertTrue(answer.head().contains("signature: s"));
            assertEquals(1, relay.arrivals());
        }
    }

    @Test
    void aStreamThatBreaksInsideAnEventGoesOnAtAnotherEngine() throws Exception {
        String broken = HEAD + chunk(events(1, 2) + "id: 3\nda");
        try (RelayFixture relay = relay(broken, End.RESET, whole(3, 5))) {
            RawAnswer answer = relay.send("POST", "/stream/x", "p", ASK);
            assertEquals(events(1, 5), answer.body());
            assertTrue(answer.complete());
            assertEquals(2, relay.arrivals());
            assertTrue(relay.requests().stream().anyMatch(request -> request.contains("last-event: 2\r\n")));
        }
    }

    @Test
    void eventsThatComeAgainAreDroppedOnce() throws Exception {
        String broken = HEAD + chunk(events(1, 3));
        try (RelayFixture relay = relay(broken, End.RESET, whole(2, 5))) {
            assertEquals(events(1, 5), relay.send("POST", "/stream/x", "p", ASK).body());
        }
    }

    @Test
    void aGapAfterResumingNeverLooksComplete() throws Exception {
        String broken = HEAD + chunk(events(1, 2));
        try (RelayFixture relay = relay(broken, End.RESET, whole(4, 5))) {
            RawAnswer answer = relay.send("POST", "/stream/x", "p", ASK);
            assertFalse(answer.complete());
            assertFalse(answer.bytes().contains("piece-4"));
        }
    }

    @Test
    void aBrokenStreamIsNotResumedWhereTheRouteForbidsIt() throws Exception {
        String broken = HEAD + chunk(events(1, 2));
        try (RelayFixture relay = relay(broken, End.RESET, whole(3, 5))) {
            RawAnswer answer = relay.send("POST", "/once/x", "p", ASK);
            assertFalse(answer.complete());
            assertEquals(1, relay.arrivals());
        }
    }

    @Test
    void anEngineThatIsFullIsLeftForAnother() throws Exception {
        String full = "HTTP/1.1 503 Full\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n";
        try (RelayFixture relay = relay(full, End.FIN, whole(1, 2))) {
            RawAnswer answer = relay.send("POST", "/once/x", "p", ASK);
            assertEquals(events(1, 2), answer.body());
            assertEquals(2, relay.arrivals());
        }
    }

    @Test
    void anEngineStopsWhenItsCallerHasGone() throws Exception {
        try (RelayFixture relay = new RelayFixture().first(HEAD + chunk(events(1, 1)), End.SILENT)) {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), relay.port())) {
                String request = RawAnswer.request("POST", "/stream/x", "p", ASK);
                socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
                assertEquals('H', socket.getInputStream().read());
            }
            ScriptedUpstream asked =
                    relay.engines.get(0).requests().isEmpty() ? relay.engines.get(1) : relay.engines.get(0);
            assertTrue(asked.awaitClosed().startsWith("closed"));
        }
    }

    @Test
    void aPromptBeyondOneEngineReservesAndReleases() throws Exception {
        try (RelayFixture relay = new RelayFixture().first(whole(1, 2), End.FIN)) {
            RawAnswer answer = relay.send(
                    "POST", "/stream/x", "p", "attempt: a", "remaining: 5000", "prompt: 110000", "output: 10");
            assertEquals(events(1, 2), answer.body());
            assertEquals(2, relay.orders.size(), () -> relay.orders.toString());
            assertTrue(relay.orders.get(0).startsWith("reserve"));
            assertTrue(relay.orders.get(1).startsWith("release"));
            assertTrue(relay.requests().get(0).contains("\r\nhelpers: 127.0.0.1:"));
        }
    }

    @Test
    void aPromptThatAllEnginesTogetherCannotHoldIsRefusedAtOnce() throws Exception {
        try (RelayFixture relay = new RelayFixture()) {
            long begun = System.nanoTime();
            RawAnswer answer = relay.send(
                    "POST", "/stream/x", "p", "attempt: a", "remaining: 5000", "prompt: 900000", "output: 10");
            long millis = (System.nanoTime() - begun) / 1_000_000;
            assertEquals(503, answer.status());
            assertTrue(millis < RelayFixture.TIMEOUT_MILLIS / 3, () -> millis + " ms");
            assertEquals(0, relay.arrivals());
        }
    }
}
