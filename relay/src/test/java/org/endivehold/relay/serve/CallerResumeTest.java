package org.endivehold.relay.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.endivehold.relay.peer.RelayNeighbour;
import org.endivehold.relay.serve.ScriptedUpstream.End;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A caller resumes a stream after event 5, and the answer has nothing that follows. Such a caller got an empty success
 * without a seal, which no upstream had sent, instead of the missing event or a failure.
 */
class CallerResumeTest {
    private static final String SEALED =
            "HTTP/1.1 200 OK\r\nattempt: ATTEMPT\r\nsignature: s\r\nContent-Type: text/event-stream\r\n";
    private static final String NEXT = "id: 6\ndata: f\n\n";
    private static final String EMPTY_BY_CONNECTION = SEALED + "\r\n";
    private static final String[] HEADERS = {
        "attempt: a", "remaining: 1400", "prompt: 1000", "output: 100", "last-event: 5"
    };

    private static String answer(String events) {
        return SEALED + "Content-Length: " + events.length() + "\r\n\r\n" + events;
    }

    static Stream<Arguments> answersThatAreNotAtThePosition() {
        List<Arguments> rows = new ArrayList<>();
        for (String path : List.of("/stream/x", "/feed/x", "/once/x", "/feed-once/x")) {
            rows.add(Arguments.of("event 6 with id 2", path, answer("id: 2\ndata: f\n\n")));
            rows.add(Arguments.of("event 6 with id 5", path, answer("id: 5\ndata: f\n\n")));
            rows.add(Arguments.of("event 6 without id", path, answer("ix: 6\ndata: f\n\n")));
            rows.add(Arguments.of("events that the caller has", path, answer("id: 4\ndata: d\n\nid: 5\ndata: e\n\n")));
            rows.add(Arguments.of("event 7 after one with id 2", path, answer("id: 2\ndata: f\n\nid: 7\n\n")));
            rows.add(Arguments.of("a comment", path, answer(": working\n\n")));
            rows.add(Arguments.of("an end that may be a crash", path, EMPTY_BY_CONNECTION));
        }
        return rows.stream();
    }

    private static boolean isResumable(String path) {
        return !path.contains("once");
    }

    @ParameterizedTest(name = "{0}, {1}")
    @MethodSource("answersThatAreNotAtThePosition")
    void anotherUpstreamIsAskedAndElseTheRequestFails(String name, String path, String answer) throws Exception {
        try (RelayFixture relay = new RelayFixture().replyFromAll(answer, End.FIN)) {
            relay.replyToLaterRequests(answer(NEXT));
            RawResponse response = relay.send("POST", path, "p", HEADERS);
            assertEquals(isResumable(path) ? 200 : 502, response.status(), response::bytes);
            assertEquals(isResumable(path), response.head().contains("signature: s"), response::bytes);
            assertEquals(isResumable(path), response.body().endsWith(NEXT), response::bytes);
            assertEquals(isResumable(path) ? 2 : 1, relay.arrivals());
        }
        try (RelayFixture relay = new RelayFixture().replyFromAll(answer, End.FIN)) {
            assertEquals(502, relay.send("POST", path, "p", HEADERS).status());
        }
    }

    @ParameterizedTest(name = "{0}, {1}")
    @MethodSource("answersThatAreNotAtThePosition")
    void theSameHoldsByWayOfAnotherDaemon(String name, String path, String answer) throws Exception {
        try (RelayFixture cutOff = new RelayFixture();
                RelayFixture other = new RelayFixture().replyFromAll(answer, End.FIN)) {
            cutOff.closeAllUpstreams();
            cutOff.send("GET", "/safe/x", "", "attempt: before", "remaining: 1200");
            other.replyToLaterRequests(answer(NEXT));
            RelayNeighbour neighbour = new RelayNeighbour(other.vertx(), "other", other.server()::offered);
            cutOff.neighbours.add(neighbour.entry());
            RawResponse response = cutOff.send("POST", path, "p", HEADERS);
            assertEquals(isResumable(path) ? 200 : 502, response.status(), response::bytes);
            assertEquals(isResumable(path), response.head().contains("signature: s"), response::bytes);
        }
    }

    /** The caller has everything; the upstream says so with an answer that is whole without any event. */
    @ParameterizedTest
    @ValueSource(strings = {"/stream/x", "/feed/x", "/once/x", "/feed-once/x"})
    void aStreamOfWhichNothingIsLeftIsTheUpstreamsOwnSuccess(String path) throws Exception {
        String chunked = SEALED + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
        for (String empty : List.of(answer(""), chunked)) {
            try (RelayFixture relay = new RelayFixture().replyFromAll(empty, End.FIN)) {
                RawResponse response = relay.send("POST", path, "p", HEADERS);
                assertEquals(200, response.status(), response::bytes);
                assertTrue(response.complete(), response::bytes);
                assertTrue(response.head().contains("signature: s"), response::bytes);
                assertEquals("", response.body());
                assertEquals(1, relay.arrivals());
            }
        }
    }

    @ParameterizedTest
    @CsvSource({"/stream/x, true", "/feed/x, true", "/stream/x, false", "/feed/x, false"})
    void whatFollowsPasses(String path, boolean repeated) throws Exception {
        String events = (repeated ? "id: 4\ndata: d\n\nid: 5\ndata: e\n\n" : "") + NEXT;
        try (RelayFixture relay = new RelayFixture().replyFromAll(answer(events), End.FIN)) {
            RawResponse response = relay.send("POST", path, "p", HEADERS);
            assertTrue(response.complete(), response::bytes);
            assertTrue(response.head().contains("signature: s"), response::bytes);
            assertEquals(NEXT, response.body());
            assertEquals(1, relay.arrivals());
        }
    }

    /**
     * One of two ids that do not increase is wrong; the event was left out, and the stream looked complete without it.
     */
    @ParameterizedTest
    @ValueSource(strings = {"/stream/x", "/feed/x", "/once/x", "/feed-once/x"})
    void aStreamWhoseIdsDoNotIncreaseIsBrokenOff(String path) throws Exception {
        for (String spoiled : List.of("id: 2\ndata: g\n\n", "id: 6\ndata: g\n\n")) {
            try (RelayFixture relay = new RelayFixture().replyFromAll(answer(NEXT + spoiled), End.FIN)) {
                relay.replyToLaterRequests(answer("id: 7\ndata: g\n\n"));
                RawResponse response = relay.send("POST", path, "p", HEADERS);
                assertEquals(200, response.status(), response::bytes);
                assertFalse(response.complete(), response::bytes);
                assertTrue(response.bytes().contains(NEXT), response::bytes);
                assertFalse(response.bytes().contains("data: g"), response::bytes);
                assertEquals(1, relay.arrivals());
            }
        }
    }
}
