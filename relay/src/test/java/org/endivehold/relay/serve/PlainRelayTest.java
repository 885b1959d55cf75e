package org.endivehold.relay.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.endivehold.relay.serve.ScriptedUpstream.End;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The response of a plain service for each behaviour of an upstream, and how many requests the upstreams get. */
class PlainRelayTest {
    private static final String GOOD =
            "HTTP/1.1 200 OK\r\nattempt: ATTEMPT\r\nsignature: s\r\nContent-Length: 2\r\n\r\nok";

    private static String reply(String name) {
        return switch (name) {
            case "good" -> GOOD;
            case "good+extra" -> GOOD + GOOD;
            case "no length" -> "HTTP/1.1 200 OK\r\nattempt: ATTEMPT\r\nsignature: s\r\n\r\nok";
            case "unsigned" -> GOOD.replace("signature: s\r\n", "");
            case "of another request" -> GOOD.replace("ATTEMPT", "other");
            case "encoded" -> GOOD.replace("signature", "Content-Encoding: gzip\r\nsignature");
            case "truncated" -> GOOD.replace("Length: 2", "Length: 9");
            case "not http" -> "garbage garbage\r\n\r\n";
            case "failed" -> GOOD.replace("200 OK", "500 Oops");
            case "not run" -> "HTTP/1.1 503 Busy\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n";
            case "misdirected" -> "HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n";
            case "503 that ran" -> GOOD.replace("200 OK", "503 Busy");
            case "nothing" -> "";
            default -> throw new IllegalArgumentException(name);
        };
    }

    @ParameterizedTest(name = "{0}, {1}: safe {2} after {3}, unsafe {4} after {5}")
    @CsvSource({
        "good,               FIN,   200, 1, 200, 1",
        "good+extra,         FIN,   200, 1, 200, 1",
        "no length,          FIN,   200, 1, 200, 1",
        "no length,          RESET, 502, 2, 502, 1",
        "unsigned,           FIN,   502, 2, 502, 1",
        "of another request, FIN,   502, 2, 502, 1",
        "encoded,            FIN,   502, 2, 502, 1",
        "truncated,          FIN,   502, 2, 502, 1",
        "truncated,          RESET, 502, 2, 502, 1",
        "not http,           FIN,   502, 2, 502, 1",
        "failed,             FIN,   500, 2, 500, 1",
        "503 that ran,       FIN,   502, 2, 502, 1",
        "not run,            FIN,   503, 2, 503, 2",
        "misdirected,        FIN,   503, 2, 503, 2",
        "nothing,            RESET, 502, 2, 502, 1",
    })
    void eachAnswerHasItsOutcome(String name, End end, int safe, int safeArrivals, int unsafe, int unsafeArrivals)
            throws Exception {
        try (RelayFixture relay = new RelayFixture().replyFromAll(reply(name), end)) {
            RawResponse response = relay.send("GET", "/safe/x", "", "attempt: a1", "remaining: 1200");
            assertEquals(safe, response.status());
            assertEquals(safeArrivals, relay.arrivals());
        }
        try (RelayFixture relay = new RelayFixture().replyFromAll(reply(name), end)) {
            RawResponse response = relay.send("POST", "/unsafe/x", "pay", "attempt: a2", "remaining: 1200");
            assertEquals(unsafe, response.status());
            assertEquals(unsafeArrivals, relay.arrivals());
            boolean refusedWithoutRun = response.status() == 503;
            assertEquals(refusedWithoutRun, response.head().contains("retry-after"));
        }
    }

    @Test
    void aRequestPassesUnchangedWithoutWhatConcernsItsConnection() throws Exception {
        try (RelayFixture relay = new RelayFixture().replyFromAll(GOOD, End.FIN)) {
            relay.send(
                    "POST",
                    "/unsafe/a%20b?x=1&x=2",
                    "body",
                    "attempt: a1",
                    "remaining: 1200",
                    "Customer: forged",
                    "Connection: x-private",
                    "X-Private: 1",
                    "X-Kept: 2",
                    "TE: trailers");
            String request = relay.requests().get(0);
            assertTrue(request.startsWith("post /unsafe/a%20b?x=1&x=2 http/1.1\r\n"), request);
            assertTrue(request.endsWith("\r\n\r\nbody"), request);
            assertTrue(request.contains("\r\nhost: h\r\n"), request);
            assertTrue(request.contains("\r\ncustomer: customer\r\n"), request);
            assertTrue(request.contains("\r\nx-kept: 2\r\n"), request);
            assertFalse(request.contains("secret"), request);
            assertFalse(request.contains("x-private"), request);
            assertFalse(request.contains("trailers"), request);
        }
    }

    @Test
    void anUnknownRouteIsAnsweredWithoutAskingAnUpstream() throws Exception {
        try (RelayFixture relay = new RelayFixture()) {
            assertEquals(404, relay.send("GET", "/unknown/x", "", "attempt: a").status());
            assertEquals(0, relay.arrivals());
        }
    }

    @Test
    void theAnswerIsFinalAtTheRoutesTimeout() throws Exception {
        try (RelayFixture relay = new RelayFixture().replyFromAll("", End.SILENT)) {
            long startNanos = System.nanoTime();
            RawResponse response = relay.send("POST", "/unsafe/x", "pay", "attempt: a", "remaining: 60000");
            long millis = (System.nanoTime() - startNanos) / 1_000_000;
            assertEquals(504, response.status());
            assertTrue(millis >= RelayFixture.TIMEOUT_MILLIS, () -> millis + " ms");
            assertEquals(1, relay.arrivals());
        }
    }

    @Test
    void theUpstreamIsToldWhatIsLeftOfTheTime() throws Exception {
        try (RelayFixture relay = new RelayFixture().replyFromAll(GOOD, End.FIN)) {
            relay.send("POST", "/unsafe/x", "pay", "attempt: a", "remaining: 60000");
            String request = relay.requests().get(0);
            int at = request.indexOf("remaining: ") + 11;
            int left = Integer.parseInt(request.substring(at, request.indexOf('\r', at)));
            assertTrue(left <= RelayFixture.TIMEOUT_MILLIS && left > RelayFixture.TIMEOUT_MILLIS / 2);
        }
    }

    @Test
    void aRequestThatComesBeforeTheFleetIsKnownWaitsForIt() throws Exception {
        try (RelayFixture relay = new RelayFixture().replyFromAll(GOOD, End.FIN)) {
            relay.incompleteChecks = 3;
            assertEquals(
                    200,
                    relay.send("GET", "/safe/x", "", "attempt: a1", "remaining: 1200")
                            .status());
        }
    }

    @Test
    void aDaemonThatKnowsNoFleetRefusesWithATimeToComeBack() throws Exception {
        try (RelayFixture relay = new RelayFixture()) {
            relay.incompleteChecks = Integer.MAX_VALUE - 1;
            RawResponse response = relay.send("GET", "/unknown/x", "", "attempt: a1", "remaining: 1200");
            assertEquals(503, response.status());
            assertTrue(response.head().contains("retry-after"));
        }
    }
}
