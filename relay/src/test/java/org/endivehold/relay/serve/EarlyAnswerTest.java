package org.endivehold.relay.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.endivehold.relay.serve.ScriptedUpstream.End;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against an upstream that answers before it has read a long body, without a length, and whose connection is
 * reset while the body is being written: the failed write closes the connection before the reset is read, and what has
 * arrived must not reach a caller as a complete answer.
 */
class EarlyAnswerTest {
    private static final String SEAL = "attempt: ATTEMPT\r\nsignature: s\r\n";
    private static final String PART = "HTTP/1.1 200 OK\r\n" + SEAL + "\r\npart of a body\n";
    private static final String STREAM_PART =
            "HTTP/1.1 200 OK\r\n" + SEAL + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: part\n\n";
    private static final String WHOLE = "HTTP/1.1 200 OK\r\n" + SEAL + "Content-Length: 4\r\n\r\ngood";
    private static final String STREAM_WHOLE =
            "HTTP/1.1 200 OK\r\n" + SEAL + "Content-Type: text/event-stream\r\n\r\nid: 2\ndata: good\n\n";
    /** More than the buffers of a loopback connection hold, in bytes. */
    private static final int BODY_BYTES = 4_000_000;

    private static final String[] HEADERS = {"attempt: a", "remaining: 1400", "prompt: 1000", "output: 100"};

    private static Stream<Arguments> cases() {
        List<Arguments> cases = new ArrayList<>();
        for (End end : List.of(End.EARLY_RESET_AT_ONCE, End.EARLY_RESET_LATER, End.EARLY_CLOSE, End.EARLY_HALF_CLOSE)) {
            for (String path : List.of("/safe/x", "/unsafe/x", "/stream/x", "/once/x")) {
                cases.add(Arguments.of(end, path, false));
                cases.add(Arguments.of(end, path, true));
            }
        }
        return cases.stream();
    }

    private static boolean isPlain(String path) {
        return path.equals("/safe/x") || path.equals("/unsafe/x");
    }

    @ParameterizedTest(name = "{0}, {1}, chunked {2}")
    @MethodSource("cases")
    void anAnswerThatIsResetDuringTheUploadIsNotComplete(End end, String path, boolean chunked) throws Exception {
        try (RelayFixture relay = new RelayFixture().replyFromAll(isPlain(path) ? PART : STREAM_PART, end)) {
            relay.replyToLaterRequests(isPlain(path) ? WHOLE : STREAM_WHOLE);
            RawResponse response = upload(relay, path, chunked);
            switch (path) {
                case "/safe/x" -> assertEquals("200 good", response.status() + " " + response.body());
                case "/stream/x" -> {
                    assertTrue(response.complete(), response::bytes);
                    assertTrue(response.body().contains("good"), response::bytes);
                }
                case "/unsafe/x" -> assertEquals(502, response.status(), response::bytes);
                default -> assertFalse(response.status() == 200 && response.complete(), response::bytes);
            }
        }
    }

    @Test
    void anEarlyAnswerIsCompleteOnceTheBodyHasBeenRead() throws Exception {
        try (RelayFixture relay = new RelayFixture().replyFromAll(PART, End.EARLY_READ_ON)) {
            RawResponse response = upload(relay, "/unsafe/x", false);
            assertEquals("200 part of a body\n", response.status() + " " + response.body());
        }
    }

    private static RawResponse upload(RelayFixture relay, String path, boolean chunked) throws IOException {
        String body = "p".repeat(BODY_BYTES);
        if (!chunked) {
            return relay.send("POST", path, body, HEADERS);
        }
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), relay.port())) {
            String head = RawResponse.request("POST", path, "", HEADERS)
                    .replace("Connection: close", "Connection: close\r\nTransfer-Encoding: chunked");
            OutputStream out = socket.getOutputStream();
            out.write(head.getBytes(StandardCharsets.UTF_8));
            for (int half = 0; half < 2; half++) {
                out.write((Integer.toHexString(BODY_BYTES / 2) + "\r\n").getBytes(StandardCharsets.UTF_8));
                out.write((body.substring(BODY_BYTES / 2) + "\r\n").getBytes(StandardCharsets.UTF_8));
            }
            out.write("0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
            return RawResponse.read(socket.getInputStream());
        }
    }
}
