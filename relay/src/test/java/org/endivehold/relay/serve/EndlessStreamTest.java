package org.endivehold.relay.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.endivehold.relay.serve.ScriptedUpstream.End;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * An engine that sends bytes without end keeps the event loop busy, which all requests share, and fills the memory if
 * its caller reads more slowly. Other requests are answered meanwhile, and what is sound arrives whole.
 */
class EndlessStreamTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nattempt: ATTEMPT\r\nsignature: s\r\n";
    private static final String PLAIN = HEAD + "Content-Length: 2\r\n\r\nok";
    private static final String EVENT = "id: 1\ndata: a\n\n";
    private static final int PLAIN_REQUESTS = 50;
    private static final int EVENTS = 40_000;
    /** More than the buffers of all connections between an engine and a caller hold, in bytes. */
    private static final long MAX_UNREAD_BYTES = 24 << 20;

    /** What an engine sends again and again after the head of its answer. */
    private enum Flood {
        EMPTY_LINES("\n", End.ENDLESS),
        COMMENTS(EVENT + ":\n\n", End.ENDLESS_EVENTS),
        REPEATED_EVENTS(EVENT + EVENT, End.ENDLESS_EVENTS),
        LARGE_EVENTS(EVENT + "data: " + "x".repeat(2_000) + "\n\n", End.ENDLESS_EVENTS);

        private final String body;
        private final End end;

        Flood(String body, End end) {
            this.body = body;
            this.end = end;
        }

        void play(RelayFixture relay) {
            relay.engines.forEach(engine -> engine.reply(HEAD + "\r\n" + body, end));
        }
    }

    @ParameterizedTest
    @EnumSource(Flood.class)
    void otherRequestsAreAnsweredMeanwhile(Flood flood) throws Exception {
        try (RelayFixture relay = new RelayFixture()) {
            flood.play(relay);
            CompletableFuture<RawResponse> stream = CompletableFuture.supplyAsync(() -> stream(relay));
            while (relay.arrivals() == 0) {
                Thread.onSpinWait();
            }
            for (int i = 0; i < PLAIN_REQUESTS; i++) {
                relay.plainUpstreams.forEach(upstream -> upstream.reply(PLAIN, End.FIN));
                assertEquals(
                        200, relay.send("GET", "/safe/x", "", "attempt: p" + i).status());
            }
            stream.join();
        }
    }

    private static RawResponse stream(RelayFixture relay) {
        try {
            return relay.send("POST", "/once/x", "", "attempt: s", "prompt: 100");
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void nothingMoreIsReadThanTheCallerTakes() throws Exception {
        try (RelayFixture relay = new RelayFixture(1);
                Socket caller = new Socket(InetAddress.getLoopbackAddress(), relay.port())) {
            Flood.LARGE_EVENTS.play(relay);
            String request = RawResponse.request("POST", "/once/x", "", "attempt: s", "prompt: 100");
            caller.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
            String closed = relay.engines.get(0).awaitClosed();
            long sent = Long.parseLong(closed.substring(closed.lastIndexOf(' ') + 1));
            assertTrue(sent < MAX_UNREAD_BYTES, closed);
        }
    }

    /** Reading from the engine pauses until the caller reads; the caller misses nothing. */
    @Test
    void aSlowCallerGetsTheWholeStream() throws Exception {
        StringBuilder events = new StringBuilder();
        for (int i = 1; i <= EVENTS; i++) {
            events.append("id: ")
                    .append(i)
                    .append("\ndata: ")
                    .append("x".repeat(200))
                    .append("\n\n");
        }
        try (RelayFixture relay = new RelayFixture(1);
                Socket caller = new Socket(InetAddress.getLoopbackAddress(), relay.port())) {
            relay.engines.get(0).reply(HEAD + "Content-Length: " + events.length() + "\r\n\r\n" + events, End.FIN);
            String request = RawResponse.request("POST", "/once/x", "", "attempt: s", "prompt: 100");
            caller.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
            for (int i = 0; i < PLAIN_REQUESTS; i++) {
                relay.plainUpstreams.forEach(upstream -> upstream.reply(PLAIN, End.FIN));
                assertEquals(
                        200, relay.send("GET", "/safe/x", "", "attempt: p" + i).status());
            }
            String bytes = new String(caller.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            RawResponse response = new RawResponse(bytes, false);
            assertTrue(response.complete());
            assertEquals(events.toString(), response.body());
        }
    }

    /** Empty lines after the last event are no event that broke off. */
    @Test
    void aStreamMayEndWithEmptyLines() throws Exception {
        try (RelayFixture relay = new RelayFixture(1)) {
            String body = "\n\r\n" + EVENT + "\n";
            relay.engines.get(0).reply(HEAD + "Content-Length: " + body.length() + "\r\n\r\n" + body, End.FIN);
            RawResponse response = relay.send("POST", "/once/x", "", "attempt: s", "prompt: 100");
            assertTrue(response.complete());
            assertEquals(body, response.body());
        }
    }
}
