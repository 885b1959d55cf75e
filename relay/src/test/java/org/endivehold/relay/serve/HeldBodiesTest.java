package org.endivehold.relay.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.endivehold.relay.serve.ScriptedUpstream.End;
import org.junit.jupiter.api.Test;

/**
 * Bodies that are bounded each, but not together, fill the memory: answers of one upstream without end, or large
 * requests of many callers at once. What does not fit ends or is refused; the others are served.
 */
class HeldBodiesTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nattempt: ATTEMPT\r\nsignature: s\r\n";
    private static final String GOOD = HEAD + "Content-Length: 2\r\n\r\nok";
    private static final int LIMIT_BYTES = 1 << 20;
    private static final int CALLERS = 12;

    @Test
    void answersWithoutEndAreEndedAndSoundOnesServed() throws Exception {
        HeldBodies bodies = HeldBodies.withLimit(LIMIT_BYTES);
        try (RelayFixture relay = new RelayFixture(1, bodies)) {
            for (int i = 0; i < CALLERS; i++) {
                relay.plainUpstreams.get(0).reply(HEAD + "\r\n0123456789abcdef\n", End.ENDLESS);
            }
            List<CompletableFuture<RawResponse>> endless = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                String attempt = "attempt: e" + i;
                endless.add(CompletableFuture.supplyAsync(() -> send(relay, "POST", "/unsafe/x", "", attempt)));
            }
            for (CompletableFuture<RawResponse> response : endless) {
                assertEquals(502, response.join().status());
            }
            assertEquals(0, bodies.responses().heldBytes());
            relay.plainUpstreams.get(0).reply(GOOD, End.FIN);
            assertEquals(200, send(relay, "GET", "/safe/x", "", "attempt: s").status());
        }
    }

    /** The refusal comes with the head: the caller need not send the body, and nothing of the request has run. */
    @Test
    void aRequestWhoseBodyDoesNotFitIsRefusedBeforeItIsRead() throws Exception {
        HeldBodies bodies = HeldBodies.withLimit(LIMIT_BYTES);
        try (RelayFixture relay = new RelayFixture(1, bodies);
                Socket first = new Socket(InetAddress.getLoopbackAddress(), relay.port());
                Socket second = new Socket(InetAddress.getLoopbackAddress(), relay.port())) {
            String body = "x".repeat(LIMIT_BYTES * 3 / 4);
            String request = RawResponse.request("POST", "/unsafe/x", body, "attempt: a");
            int half = request.length() - body.length() / 2;
            write(first, request.substring(0, half));
            while (bodies.requests().heldBytes() < body.length() / 2 - 1) {
                Thread.onSpinWait();
            }
            write(second, request.substring(0, request.length() - body.length()));
            byte[] status = second.getInputStream().readNBytes("HTTP/1.1 503".length());
            assertEquals("HTTP/1.1 503", new String(status, StandardCharsets.UTF_8));
            assertEquals(0, relay.arrivals());
            relay.plainUpstreams.get(0).reply(GOOD, End.FIN);
            write(first, request.substring(half));
            String answer = new String(first.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
            assertEquals(0, bodies.requests().heldBytes());
        }
    }

    private static void write(Socket socket, String bytes) throws IOException {
        socket.getOutputStream().write(bytes.getBytes(StandardCharsets.UTF_8));
    }

    private static RawResponse send(RelayFixture relay, String method, String path, String body, String header) {
        try {
            return relay.send(method, path, body, header);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
