package org.endivehold.relay.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.endivehold.relay.serve.ScriptedUpstream.End;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against an upstream that stops within the head of its answer and closes: what has arrived has a status and
 * perhaps all headers that a success needs, and must not reach a caller as a complete answer.
 */
class BrokenHeadTest {
    private static final String LENGTH_LAST =
            "HTTP/1.1 200 OK\r\nattempt: ATTEMPT\r\nsignature: s\r\nContent-Length: 2\r\n\r\n";
    private static final String LENGTH_FIRST =
            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nattempt: ATTEMPT\r\nsignature: s\r\n\r\n";
    private static final String CHUNKED =
            "HTTP/1.1 200 OK\r\nattempt: ATTEMPT\r\nsignature: s\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String EVENTS =
            "HTTP/1.1 200 OK\r\nattempt: ATTEMPT\r\nsignature: s\r\nContent-Type: text/event-stream\r\n\r\n";

    private static final int LINE_STEP = 9;

    private static String head(String name) {
        return switch (name) {
            case "length last" -> LENGTH_LAST;
            case "length first" -> LENGTH_FIRST;
            case "chunked" -> CHUNKED;
            default -> EVENTS;
        };
    }

    /** Returns by how many bytes the next part is longer: one around the ends of lines, more within them. */
    private static int nextLength(String head, int length) {
        int lineEnd = head.indexOf('\r', length);
        return lineEnd <= length ? 1 : Math.min(LINE_STEP, lineEnd - length);
    }

    @ParameterizedTest(name = "{0}, {1}, {2}")
    @CsvSource({
        "length last,  FIN,   /safe/x",
        "length last,  RESET, /safe/x",
        "length last,  FIN,   /unsafe/x",
        "length first, FIN,   /safe/x",
        "length first, FIN,   /unsafe/x",
        "chunked,      FIN,   /safe/x",
        "chunked,      FIN,   /stream/x",
        "events,       FIN,   /stream/x",
        "events,       RESET, /stream/x",
        "events,       FIN,   /once/x"
    })
    void aHeadThatBreaksOffIsNoAnswer(String name, End end, String path) throws Exception {
        String head = head(name);
        for (int length = head.indexOf('\r'); length < head.length(); length += nextLength(head, length)) {
            String sent = head.substring(0, length);
            try (RelayFixture relay = new RelayFixture().replyFromAll(sent, end)) {
                RawResponse response =
                        relay.send("POST", path, "p", "attempt: a", "remaining: 1200", "prompt: 1000", "output: 100");
                assertTrue(response.status() >= 500, () -> "after " + sent + ": " + response.head());
                assertEquals(-1, response.head().indexOf("signature"), () -> "after " + sent);
            }
        }
    }
}
