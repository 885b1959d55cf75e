package org.endivehold.relay.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Locale;
import org.endivehold.relay.peer.PeerMessage;
import org.endivehold.relay.serve.ScriptedUpstream.End;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * An upstream announces in an answer that it is leaving, or that it wants no request for a time. The store does not
 * show that: it may be out, and its list still has the upstream as serving.
 */
class UpstreamAnnouncementsTest {
    private static final int REQUESTS = 6;
    private static final int MAX_TRIES = 50;
    private static final String SEALED = "attempt: ATTEMPT\r\nsignature: s\r\n";
    private static final String[] HEADERS = {"attempt: a", "remaining: 1200", "prompt: 1000", "output: 100"};

    private static String plainAnswer(String announcement) {
        return "HTTP/1.1 200 OK\r\n" + SEALED + announcement + "Content-Length: 2\r\n\r\nok";
    }

    private static String streamAnswer(String announcement) {
        String event = "id: 1\ndata: piece\n\n";
        return "HTTP/1.1 200 OK\r\n" + SEALED + announcement + "Content-Type: text/event-stream\r\n"
                + "Content-Length: " + event.length() + "\r\n\r\n" + event;
    }

    private static String answer(String path, String announcement) {
        return path.startsWith("/stream") ? streamAnswer(announcement) : plainAnswer(announcement);
    }

    private static String refusal(String announcement) {
        return "HTTP/1.1 503 Busy\r\nnot-run: 1\r\n" + announcement + "Content-Length: 0\r\n\r\n";
    }

    private static List<ScriptedUpstream> upstreams(RelayFixture relay, String path) {
        return path.startsWith("/stream") ? relay.engines : relay.plainUpstreams;
    }

    private static int arrivals(ScriptedUpstream upstream) {
        return upstream.requests().size();
    }

    /** The first answer of every upstream carries an announcement, all later ones do not. */
    private static RelayFixture relay(String path, String first) throws Exception {
        RelayFixture relay = new RelayFixture();
        for (ScriptedUpstream upstream : upstreams(relay, path)) {
            upstream.reply(first, End.FIN);
            for (int i = 0; i < REQUESTS; i++) {
                upstream.reply(answer(path, ""), End.FIN);
            }
        }
        return relay;
    }

    /** Makes only the upstream that gets the first request announce something. */
    private static void quietOthers(RelayFixture relay, String path) {
        Runnable replace = () -> upstreams(relay, path).forEach(upstream -> upstream.replaceReplies(answer(path, "")));
        upstreams(relay, path).forEach(upstream -> upstream.onRequest(replace));
    }

    @ParameterizedTest
    @CsvSource({"/safe/x", "/unsafe/x", "/stream/x"})
    void anUpstreamThatIsLeavingGetsNoNewRequest(String path) throws Exception {
        try (RelayFixture relay = relay(path, answer(path, "leaving: 1\r\n"))) {
            quietOthers(relay, path);
            assertEquals(200, relay.send("POST", path, "p", HEADERS).status());
            ScriptedUpstream leaving = upstreams(relay, path).stream()
                    .filter(upstream -> arrivals(upstream) > 0)
                    .findFirst()
                    .orElseThrow();
            for (int i = 0; i < REQUESTS; i++) {
                upstreams(relay, path).forEach(upstream -> upstream.replaceReplies(answer(path, "")));
                assertEquals(200, relay.send("POST", path, "p", HEADERS).status());
            }
            assertEquals(1, arrivals(leaving));
            assertEquals(1, relay.peerMessages.size());
            assertTrue(relay.peerMessages.get(0) instanceof PeerMessage.UpstreamLeaving);
            relay.startedAtMillis = 2;
            for (int i = 0; i < MAX_TRIES && arrivals(leaving) == 1; i++) {
                upstreams(relay, path).forEach(upstream -> upstream.replaceReplies(answer(path, "")));
                assertEquals(200, relay.send("POST", path, "p", HEADERS).status());
            }
            assertEquals(2, arrivals(leaving), "a later start with the same id is used again");
        }
    }

    @ParameterizedTest
    @CsvSource({"/safe/x", "/unsafe/x", "/stream/x"})
    void anUpstreamThatWantsAPauseGetsNoRequestUntilItsEnd(String path) throws Exception {
        try (RelayFixture relay = relay(path, refusal("pause-ms: 30000\r\n"))) {
            quietOthers(relay, path);
            assertEquals(200, relay.send("POST", path, "p", HEADERS).status(), "served by the other upstream");
            assertEquals(2, relay.arrivals());
            for (int i = 0; i < REQUESTS; i++) {
                upstreams(relay, path).forEach(upstream -> upstream.replaceReplies(answer(path, "")));
                assertEquals(200, relay.send("POST", path, "p", HEADERS).status());
            }
            List<Integer> counts = upstreams(relay, path).stream()
                    .map(UpstreamAnnouncementsTest::arrivals)
                    .sorted()
                    .toList();
            assertEquals(List.of(1, REQUESTS + 1), counts);
            upstreams(relay, path).forEach(upstream -> upstream.replaceReplies(answer(path, "leaving: 1\r\n")));
            assertEquals(200, relay.send("POST", path, "p", HEADERS).status(), "the last answer of the other upstream");
            assertEquals(503, relay.send("POST", path, "p", HEADERS).status(), "not even if there is no other");
            assertEquals(REQUESTS + 3, relay.arrivals());
        }
    }

    /** Also under the load of several callers, nothing is sent to the only upstreams while all of them want a pause. */
    @ParameterizedTest
    @CsvSource({"/safe/x", "/unsafe/x", "/stream/x"})
    void callersAreRefusedAtOnceWhileAllUpstreamsWantAPause(String path) throws Exception {
        try (RelayFixture relay = relay(path, refusal("pause-ms: 30000\r\n"))) {
            assertEquals(503, relay.send("POST", path, "p", HEADERS).status());
            assertEquals(2, relay.arrivals());
            for (int i = 0; i < REQUESTS; i++) {
                RawResponse refused = relay.send("POST", path, "p", HEADERS);
                assertEquals(503, refused.status());
                assertTrue(retryAfterSeconds(refused) > 25, refused.head());
            }
            assertEquals(2, relay.arrivals());
        }
    }

    private static double retryAfterSeconds(RawResponse response) {
        return response.head()
                .lines()
                .filter(line -> line.toLowerCase(Locale.ROOT).startsWith("retry-after:"))
                .mapToDouble(line -> Double.parseDouble(line.substring(line.indexOf(':') + 1)))
                .findFirst()
                .orElse(0);
    }
}
