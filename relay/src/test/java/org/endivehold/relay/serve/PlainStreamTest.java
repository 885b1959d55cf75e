package org.endivehold.relay.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.endivehold.relay.serve.ScriptedUpstream.End;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A streaming route whose service has no engine profile. Its streams were held until their end and taken for whole by
 * the end of their connection, so one that broke off inside an event reached its caller as a complete success.
 */
class PlainStreamTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nattempt: ATTEMPT\r\nsignature: s\r\n";
    private static final String EVENT_STREAM = "Content-Type: text/event-stream\r\n";
    private static final String[] HEADERS = {"attempt: a", "remaining: 5000"};
    private static final int READ_TIMEOUT_MILLIS = 1_000;

    /** How the end of a body is marked. */
    private enum Framing {
        CONNECTION {
            @Override
            String answer(String type, String body) {
                return HEAD + type + "\r\n" + body;
            }
        },
        LENGTH {
            @Override
            String answer(String type, String body) {
                return HEAD + type + "Content-Length: " + body.length() + "\r\n\r\n" + body;
            }
        },
        CHUNKS {
            @Override
            String answer(String type, String body) {
                String length = Integer.toHexString(body.length());
                return HEAD + type + "Transfer-Encoding: chunked\r\n\r\n" + length + "\r\n" + body + "\r\n0\r\n\r\n";
            }
        };

        abstract String answer(String type, String body);

        String events(String body) {
            return answer(EVENT_STREAM, body);
        }
    }

    private static String events(int from, int to) {
        StringBuilder text = new StringBuilder();
        for (int id = from; id <= to; id++) {
            text.append("id: ").append(id).append("\ndata: piece\n\n");
        }
        return text.toString();
    }

    private static RelayFixture relay(String first, End end, String later) throws Exception {
        RelayFixture relay = new RelayFixture().replyFromAll(first, end);
        relay.replyToLaterRequests(later);
        return relay;
    }

    @ParameterizedTest
    @EnumSource(Framing.class)
    void aWholeStreamPasses(Framing framing) throws Exception {
        for (String path : List.of("/feed/x", "/feed-once/x")) {
            try (RelayFixture relay = new RelayFixture().replyFromAll(framing.events(events(1, 4)), End.FIN)) {
                RawResponse response = relay.send("POST", path, "p", HEADERS);
                assertTrue(response.complete(), response.bytes());
                assertTrue(response.head().contains("signature: s"), response.bytes());
                assertEquals(events(1, 4), response.body());
                assertEquals(1, relay.arrivals());
            }
        }
    }

    @ParameterizedTest
    @CsvSource({
        "CONNECTION, 'id: 4\nda',     FIN",
        "CONNECTION, 'id: 4\nda',     RESET",
        "CONNECTION, 'id: 4\ndata\n', FIN",
        "CONNECTION, '',              RESET",
        "LENGTH,     'id: 4\nda',     FIN",
        "CHUNKS,     'id: 4\nda',     FIN",
    })
    void aStreamThatBreaksOffIsResumedOrBrokenOff(Framing framing, String rest, End end) throws Exception {
        String broken = framing.events(events(1, 3) + rest);
        try (RelayFixture relay = relay(broken, end, framing.events(events(4, 5)))) {
            RawResponse response = relay.send("POST", "/feed/x", "p", HEADERS);
            assertTrue(response.complete(), response.bytes());
            assertEquals(events(1, 5), response.body());
            assertEquals(2, relay.arrivals());
            assertTrue(relay.requests().stream().anyMatch(request -> request.contains("last-event: 3\r\n")));
        }
        try (RelayFixture relay = relay(broken, end, framing.events(events(4, 5)))) {
            RawResponse response = relay.send("POST", "/feed-once/x", "p", HEADERS);
            assertFalse(response.complete(), response.bytes());
            assertTrue(response.bytes().contains(events(1, 3)), response.bytes());
            assertFalse(response.bytes().contains("id: 4"), response.bytes());
            assertEquals(1, relay.arrivals());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"500 No", "400 Bad", "429 Later"})
    void anAnswerWithoutSuccessIsNoPartOfAStream(String status) throws Exception {
        String error = Framing.LENGTH.answer(EVENT_STREAM, "no").replace("200 OK", status);
        String broken = Framing.CONNECTION.events(events(1, 3) + "id: 4\n");
        try (RelayFixture relay = relay(broken, End.FIN, error)) {
            RawResponse response = relay.send("POST", "/feed/x", "p", HEADERS);
            assertFalse(response.complete(), response.bytes());
            assertEquals(2, relay.arrivals());
        }
        try (RelayFixture relay = new RelayFixture().replyFromAll(error, End.FIN)) {
            RawResponse response = relay.send("POST", "/feed-once/x", "p", HEADERS);
            assertEquals(status.startsWith("429") ? 502 : Integer.parseInt(status.substring(0, 3)), response.status());
        }
    }

    /** Events are forwarded as they arrive. */
    @Test
    void eventsReachTheCallerBeforeTheEndOfTheStream() throws Exception {
        try (RelayFixture relay = new RelayFixture().replyFromAll(Framing.CONNECTION.events(events(1, 1)), End.SILENT);
                Socket caller = new Socket(InetAddress.getLoopbackAddress(), relay.port())) {
            caller.setSoTimeout(READ_TIMEOUT_MILLIS);
            String request = RawResponse.request("POST", "/feed-once/x", "p", HEADERS);
            caller.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
            BufferedReader lines =
                    new BufferedReader(new InputStreamReader(caller.getInputStream(), StandardCharsets.UTF_8));
            String line = lines.readLine();
            while (!line.startsWith("data: ")) {
                line = lines.readLine();
            }
            assertEquals("data: piece", line);
        }
    }

    /** A streaming route may answer with something else, which is whole by its length. */
    @ParameterizedTest
    @CsvSource({"application/json, 200", "text/plain; charset=utf-8, 200"})
    void anAnswerWithAnotherContentPassesAsAWhole(String type, int status) throws Exception {
        String answer = Framing.LENGTH.answer("Content-Type: " + type + "\r\n", "{\"a\":1}");
        try (RelayFixture relay = new RelayFixture().replyFromAll(answer, End.FIN)) {
            RawResponse response = relay.send("POST", "/feed/x", "p", HEADERS);
            assertEquals(status, response.status());
            assertEquals("{\"a\":1}", response.body());
        }
    }

    /** An answer that cannot have a body is no stream that broke off before its first event. */
    @ParameterizedTest
    @CsvSource({"POST, 204 No Content", "HEAD, 200 OK"})
    void anAnswerWithoutABodyPasses(String method, String status) throws Exception {
        String answer = HEAD.replace("200 OK", status) + "\r\n";
        try (RelayFixture relay = new RelayFixture().replyFromAll(answer, End.FIN)) {
            RawResponse response = relay.send(method, "/feed/x", "", HEADERS);
            assertEquals(status.substring(0, 3), Integer.toString(response.status()));
            assertTrue(response.head().contains("signature: s"), response.bytes());
            assertEquals(1, relay.arrivals());
        }
    }

    /** Nothing but the end of its last event shows that an event stream is whole if its connection ends it. */
    @ParameterizedTest
    @CsvSource({
        "CONNECTION, 'text/event-stream',                 502",
        "CONNECTION, 'Text/Event-Stream; charset=utf-8',  502",
        "CONNECTION, 'text/plain',                        200",
        "LENGTH,     'text/event-stream',                 200",
        "CHUNKS,     'text/event-stream',                 200",
    })
    void anEventStreamOnAnotherRouteThatEndsInsideAnEvent(Framing framing, String type, int status) throws Exception {
        String answer = framing.answer("Content-Type: " + type + "\r\n", events(1, 2) + "id: 3\nda");
        try (RelayFixture relay = new RelayFixture().replyFromAll(answer, End.FIN)) {
            assertEquals(status, relay.send("POST", "/unsafe/x", "p", HEADERS).status());
        }
        String whole = framing.answer("Content-Type: " + type + "\r\n", events(1, 2));
        try (RelayFixture relay = new RelayFixture().replyFromAll(whole, End.FIN)) {
            assertEquals(200, relay.send("POST", "/unsafe/x", "p", HEADERS).status());
        }
    }
}
