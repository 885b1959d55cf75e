package org.endivehold.relay.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.stream.Stream;
import org.endivehold.relay.serve.ScriptedUpstream.End;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against an upstream in trouble whose answer has an invalid head: a status that does not exist, a line that is
 * no field, or a body whose length cannot be told. It is a broken attempt, and no part of it reaches a caller.
 */
class InvalidHeadTest {
    private static final String SEAL = "attempt: ATTEMPT\r\nsignature: s\r\n";
    private static final String PLAIN_REST = SEAL + "Content-Length: 4\r\n\r\nevil";
    private static final String STREAM_REST = SEAL + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: evil\n\n";
    private static final String GOOD_PLAIN = "HTTP/1.1 200 OK\r\n" + SEAL + "Content-Length: 4\r\n\r\ngood";
    private static final String GOOD_STREAM =
            "HTTP/1.1 200 OK\r\n" + SEAL + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: good\n\n";
    private static final String[] HEADERS = {"attempt: a", "remaining: 1400", "prompt: 1000", "output: 100"};

    /** Starts of heads: a status line, and perhaps a field, that make the whole head invalid. */
    private static final List<String> INVALID_STARTS = List.of(
            "HTTP/1.1 000 \r\n",
            "HTTP/1.1 099 Odd\r\n",
            "HTTP/1.1 102 Processing\r\nContent-Length: 4\r\n\r\n",
            "HTTP/1.1 101 Switching Protocols\r\n",
            "HTTP/1.1 600 Odd\r\n",
            "HTTP/1.1 999 Odd\r\n",
            "HTTP/1.1 20 OK\r\n",
            "HTTP/1.1 2000 OK\r\n",
            "HTTP/1.1 +20 OK\r\n",
            "HTTP/1.1  200 OK\r\n",
            "HTTP/1.1 200 O\u0001K\r\n",
            "HTTP/2.0 200 OK\r\n",
            "http/1.1 200 OK\r\n",
            "\u0001HTTP/1.1 200 OK\r\n",
            "\r\nHTTP/1.1 200 OK\r\n",
            "HTTP/1.1 200 OK\n",
            "HTTP/1.1 200 OK\r\nx-b ad: evil\r\n",
            "HTTP/1.1 200 OK\r\nx-bad : evil\r\n",
            "HTTP/1.1 200 OK\r\nx-bad\t: evil\r\n",
            "HTTP/1.1 200 OK\r\n x-bad: evil\r\n",
            "HTTP/1.1 200 OK\r\nx-ok: 1\r\n x-bad: evil\r\n",
            "HTTP/1.1 200 OK\r\nx-b\u0001ad: evil\r\n",
            "HTTP/1.1 200 OK\r\nx-b\u0000ad: evil\r\n",
            "HTTP/1.1 200 OK\r\nx-b\u007fad: evil\r\n",
            "HTTP/1.1 200 OK\r\n\nx-bad: evil\r\n",
            "HTTP/1.1 200 OK\r\nx-b\rad: evil\r\n",
            "HTTP/1.1 200 OK\r\nx-bad\r\n",
            "HTTP/1.1 200 OK\r\n: evil\r\n",
            "HTTP/1.1 200 OK\r\nx-bad: ev\u0001il\r\n",
            "HTTP/1.1 200 OK\r\nx-bad: ev\u0000il\r\n",
            "HTTP/1.1 200 OK\r\nx-bad: ev\ril\r\n",
            "HTTP/1.1 200 OK\r\nx-bad: ev\nContent-Length: 2\r\n",
            "HTTP/1.1 200 OK\r\nContent Length: 2\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 4\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: +4\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: 4, 2\r\n",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n",
            "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n");

    private static Stream<Arguments> cases() {
        List<Arguments> cases = new ArrayList<>();
        for (String start : INVALID_STARTS) {
            for (String path : List.of("/safe/x", "/unsafe/x", "/stream/x", "/once/x")) {
                cases.add(Arguments.of(start, path));
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

    @ParameterizedTest(name = "{index}: {1}")
    @MethodSource("cases")
    void anInvalidHeadIsABrokenAttempt(String start, String path) throws Exception {
        String invalid = start + (isPlain(path) ? PLAIN_REST : STREAM_REST);
        String good = isPlain(path) ? GOOD_PLAIN : GOOD_STREAM;
        try (RelayFixture relay = new RelayFixture().replyFromAll(invalid, End.FIN)) {
            relay.replyToLaterRequests(good);
            RawResponse response = relay.send("POST", path, "p", HEADERS);
            assertEquals(mayRunAgain(path) ? 200 : 502, response.status(), response::bytes);
            assertEquals(mayRunAgain(path), response.body().contains("good"), response::bytes);
            assertFalse(response.bytes().contains("evil"), response::bytes);
            assertFalse(response.head().contains("x-bad"), response::bytes);
            assertEquals(mayRunAgain(path) ? 2 : 1, relay.arrivals());
            assertTrue(response.complete());
            assertEquals(1, relay.invalidAnswers(), "counted answers");
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"100 Continue", "102 Processing", "103 Early Hints", "199 Odd"})
    void anInterimAnswerIsNotTakenForTheFinalOne(String status) throws Exception {
        for (String path : List.of("/unsafe/x", "/once/x")) {
            String good = isPlain(path) ? GOOD_PLAIN : GOOD_STREAM;
            String interim = "HTTP/1.1 " + status + "\r\n" + SEAL + "x-bad: evil\r\n\r\n";
            try (RelayFixture relay = new RelayFixture().replyFromAll(interim + interim + good, End.FIN)) {
                RawResponse response = relay.send("POST", path, "p", HEADERS);
                assertEquals(200, response.status(), response::bytes);
                assertTrue(response.body().contains("good"), response::bytes);
                assertFalse(response.head().contains("x-bad"), response::bytes);
                assertEquals(1, relay.arrivals());
                assertEquals(0, relay.invalidAnswers());
            }
        }
    }

    @Test
    void nothingOfAnInvalidHeadGetsIntoAStreamThatIsResumed() throws Exception {
        String begun = GOOD_STREAM + "id: 2\nda";
        try (RelayFixture relay = new RelayFixture().replyFromAll(begun, End.RESET)) {
            relay.replyToLaterRequests("HTTP/1.1 000 \r\n" + STREAM_REST.replace("id: 1", "id: 2"));
            RawResponse response = relay.send("POST", "/stream/x", "p", HEADERS);
            assertFalse(response.complete(), response::bytes);
            assertTrue(response.bytes().contains("good"), response::bytes);
            assertFalse(response.bytes().contains("evil"), response::bytes);
            assertEquals(2, relay.arrivals());
            assertEquals(1, relay.invalidAnswers());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"/unsafe/x", "/once/x"})
    void theAttemptCountsAgainstTheUpstreamAndIsLogged(String path) throws Exception {
        List<String> lines = new CopyOnWriteArrayList<>();
        Handler handler = new LineHandler(lines);
        Logger logger = Logger.getLogger(RelayContext.class.getName());
        logger.addHandler(handler);
        try (RelayFixture relay = new RelayFixture().replyFromAll("HTTP/1.1 000 \r\n" + PLAIN_REST, End.FIN)) {
            relay.send("POST", path, "p", HEADERS);
            String service = isPlain(path) ? "plain" : "engines";
            List<ScriptedUpstream> upstreams = isPlain(path) ? relay.plainUpstreams : relay.engines;
            String asked = service + "-" + (upstreams.get(0).requests().isEmpty() ? 1 : 0);
            assertTrue(relay.context().health().ejected(asked, relay.context().now()));
            String expected =
                    "event=invalid-answer request=a upstream=" + asked + " part=status bytes=\"HTTP/1.1 000 \"";
            assertEquals(List.of(expected), lines);
        } finally {
            logger.removeHandler(handler);
        }
    }

    /** Keeps the text of each line. */
    private static final class LineHandler extends Handler {
        private final List<String> lines;

        LineHandler(List<String> lines) {
            this.lines = lines;
        }

        @Override
        public void publish(LogRecord line) {
            lines.add(line.getMessage());
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    }
}
