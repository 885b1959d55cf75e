package org.endivehold.relay.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.endivehold.relay.serve.ScriptedUpstream.End;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Answers that end with their connection, and bytes that never end: an answer is complete only after a clean end, and
 * what is no answer is cut off within bounds of bytes and time.
 */
class AnswerEndTest {
    private static final String SEALED_HEAD = "HTTP/1.1 200 OK\r\nattempt: ATTEMPT\r\nsignature: s\r\n";
    private static final String STREAM_HEAD = SEALED_HEAD + "Content-Type: text/event-stream\r\n\r\n";
    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";
    private static final String[] STREAM = {"attempt: a", "remaining: 5000", "prompt: 1000", "output: 100"};
    private static final String[] PLAIN = {"attempt: a", "remaining: 1200"};
    /** Most bytes that an upstream can send to no purpose: the largest answer, and what is in flight. */
    private static final long MAX_USELESS_BYTES = 32 << 20;

    private static String events(int from, int to) {
        StringBuilder text = new StringBuilder();
        for (int id = from; id <= to; id++) {
            text.append("id: ").append(id).append("\ndata: piece\n\n");
        }
        return text.toString();
    }

    @ParameterizedTest
    @CsvSource({
        "'',             FIN,   true,  1",
        "'',             RESET, true,  2",
        "'id: 4\nda',    FIN,   true,  2",
        "'id: 4\nda',    RESET, true,  2",
        "'id: 4\ndata\n',FIN,   true,  2",
    })
    void aStreamWithoutLengthIsCompleteOnlyAfterACleanEndBetweenEvents(
            String rest, End end, boolean complete, int arrivals) throws Exception {
        try (RelayFixture relay = new RelayFixture().replyFromAll(STREAM_HEAD + events(1, 3) + rest, end)) {
            relay.replyToSecondRequest(STREAM_HEAD + events(4, 5));
            RawResponse response = relay.send("POST", "/stream/x", "p", STREAM);
            assertEquals(complete, response.complete());
            assertEquals(arrivals == 1 ? events(1, 3) : events(1, 5), response.body());
            assertEquals(arrivals, relay.arrivals());
        }
    }

    @Test
    void aStreamWithoutLengthThatBreaksOffDoesNotLookCompleteWhereItMayNotBeResumed() throws Exception {
        try (RelayFixture relay = new RelayFixture().replyFromAll(STREAM_HEAD + events(1, 3) + "id: 4\nda", End.FIN)) {
            assertFalse(relay.send("POST", "/once/x", "p", STREAM).complete());
            assertEquals(1, relay.arrivals());
        }
    }

    /** Returns a reply whose last line is repeated without end. */
    private static String endless(String name) {
        return switch (name) {
            case "head" -> "HTTP/1.1 200 OK\r\nx-endless: 1\r\n";
            case "interim heads" -> "HTTP/1.1 100 Continue\r\n\r\n";
            case "body" -> SEALED_HEAD + "\r\nbytes without end\n";
            case "event" -> SEALED_HEAD + "Content-Type: text/event-stream\r\n\r\ndata: an event without end\n";
            case "error" -> SEALED_HEAD.replace("200 OK", "500 No") + "\r\nan error without end\n";
            case "chunks" -> SEALED_HEAD + CHUNKED + "5;extension=1\r\nbytes\n";
            case "trailers" -> SEALED_HEAD + CHUNKED + "0\r\ntrailer: 1\r\n";
            default -> "no answer at all\n";
        };
    }

    @ParameterizedTest
    @ValueSource(strings = {"head", "interim heads", "body", "event", "error", "chunks", "trailers", "no answer"})
    void bytesWithoutEndAreCutOff(String name) throws Exception {
        for (String path : List.of("/safe/x", "/stream/x")) {
            try (RelayFixture relay = new RelayFixture().replyFromAll(endless(name), End.ENDLESS)) {
                String[] headers = path.equals("/safe/x") ? PLAIN : STREAM;
                RawResponse response = relay.send("POST", path, "p", headers);
                assertTrue(response.status() >= 500, path + ": " + response.head());
                List<ScriptedUpstream> upstreams = path.equals("/safe/x") ? relay.plainUpstreams : relay.engines;
                ScriptedUpstream first = upstreams.get(0).requests().isEmpty() ? upstreams.get(1) : upstreams.get(0);
                String closed = first.awaitClosed();
                long sent = Long.parseLong(closed.replaceAll("\\D", ""));
                assertTrue(sent <= MAX_USELESS_BYTES, path + ": " + closed);
            }
        }
    }
}
