package org.endivehold.relay.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.stream.Stream;
import org.endivehold.relay.serve.ScriptedUpstream.End;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * A stream has begun and breaks off, and the next engine does not go on with it. Callers must find nothing of that
 * engine's answer in the middle of their stream, and the stream must not look complete.
 */
class ErrorAfterEventsTest {
    private static final String SEALED = "attempt: ATTEMPT\r\nsignature: s\r\n";
    private static final String STREAM = "Content-Type: text/event-stream\r\n";
    private static final String EVENTS = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    private static final String ERROR_TEXT = "{\"error\":\"odd\"}\n\nmore of it\n\n";
    private static final String[] HEADERS = {"attempt: a", "remaining: 5000", "prompt: 1000", "output: 100"};

    private static String answer(String status, String headers, String body) {
        return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    static Stream<Arguments> nextAnswers() {
        return Stream.of(
                Arguments.of("an error", answer("500 Error", SEALED, ERROR_TEXT)),
                Arguments.of("an unsealed error", answer("500 Error", "", ERROR_TEXT)),
                Arguments.of("a refusal", answer("503 Full", "not-run: 1\r\n" + SEALED, ERROR_TEXT)),
                Arguments.of("an unsealed refusal", answer("503 Full", "not-run: 1\r\n", ERROR_TEXT)),
                Arguments.of("a request that is said to be wrong", answer("400 Bad", SEALED, ERROR_TEXT)),
                Arguments.of("not found", answer("404 Not Found", SEALED, ERROR_TEXT)),
                Arguments.of("another content", answer("200 OK", SEALED + "Content-Type: text/html\r\n", ERROR_TEXT)),
                Arguments.of("text that is split like events", answer("200 OK", SEALED + STREAM, ERROR_TEXT)),
                Arguments.of("an empty body", answer("200 OK", SEALED + STREAM, "")),
                Arguments.of("comments only", answer("200 OK", SEALED + STREAM, ": still working\n\n")),
                Arguments.of("no seal", answer("200 OK", "attempt: ATTEMPT\r\n" + STREAM, "id: 3\ndata: c\n\n")),
                Arguments.of(
                        "another attempt",
                        answer("200 OK", "attempt: other\r\nsignature: s\r\n" + STREAM, "id: 3\ndata: c\n\n")),
                Arguments.of("a gap", answer("200 OK", SEALED + STREAM, "id: 9\ndata: i\n\n")),
                Arguments.of("only what came before", answer("200 OK", SEALED + STREAM, "id: 1\ndata: a\n\n")));
    }

    @ParameterizedTest(name = "then {0}")
    @MethodSource("nextAnswers")
    void theStreamIsBrokenOffAfterItsLastEvent(String name, String next) throws Exception {
        String begun = "HTTP/1.1 200 OK\r\n" + SEALED + STREAM + "Content-Length: 1000\r\n\r\n" + EVENTS + "id: 3\nda";
        try (RelayFixture relay = new RelayFixture()) {
            relay.engines.forEach(engine -> engine.reply(begun, End.RESET));
            relay.replyToSecondRequest(next);
            RawResponse response = relay.send("POST", "/stream/x", "p", HEADERS);
            assertEquals(200, response.status());
            assertFalse(response.complete(), response.bytes());
            String body = response.bytes().substring(response.bytes().indexOf("\r\n\r\n") + 4);
            assertEquals(EVENTS, body.replaceFirst("(?s)^[0-9a-f]+\r\n(.*)\r\n$", "$1"));
        }
    }

    /** Without ids nobody can tell where another engine goes on. */
    @ParameterizedTest(name = "then {0}")
    @MethodSource("nextAnswers")
    void aStreamWithoutIdsIsNotResumed(String name, String next) throws Exception {
        String begun = "HTTP/1.1 200 OK\r\n" + SEALED + STREAM + "Content-Length: 1000\r\n\r\ndata: a\n\nda";
        try (RelayFixture relay = new RelayFixture()) {
            relay.engines.forEach(engine -> engine.reply(begun, End.RESET));
            relay.replyToSecondRequest(next);
            RawResponse response = relay.send("POST", "/stream/x", "p", HEADERS);
            assertFalse(response.complete(), response.bytes());
            assertEquals(1, relay.arrivals());
        }
    }
}
