package org.endivehold.relay.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.endivehold.relay.serve.ScriptedUpstream.End;
import org.junit.jupiter.api.Test;

/**
 * A stopping daemon accepts requests for a part of its grace period and serves them, then refuses new ones without
 * forwarding them. Accepting them for longer would cut streams when the process ends; refusing them earlier would fail
 * requests that the load balancer still sends while few other daemons are ready.
 */
class DrainTest {
    private static final String GOOD =
            "HTTP/1.1 200 OK\r\nattempt: ATTEMPT\r\nsignature: s\r\nContent-Length: 2\r\n\r\nok";
    /** Longer than the grace period, in nanoseconds: each phase of a stop begins within this time. */
    private static final long LIMIT_NANOS = TimeUnit.SECONDS.toNanos(20);
    /** More than the buffers of a connection hold, in bytes. */
    private static final int LARGE_BYTES = 7 << 20;

    private static RawResponse sendRequest(RelayFixture relay) throws Exception {
        relay.plainUpstreams.forEach(upstream -> upstream.reply(GOOD, End.FIN));
        return relay.send("GET", "/safe/x", "", "attempt: a", "remaining: 1200");
    }

    @Test
    void aDrainingDaemonServesRequestsAtFirstAndThenRefusesThem() throws Exception {
        try (RelayFixture relay = new RelayFixture()) {
            Future<Void> drained = drain(relay);
            assertEquals(200, sendRequest(relay).status());
            RawResponse response = sendRequest(relay);
            long end = System.nanoTime() + LIMIT_NANOS;
            while (response.status() == 200 && System.nanoTime() < end) {
                response = sendRequest(relay);
            }
            assertEquals(503, response.status());
            assertTrue(response.head().contains("retry-after"));
            int arrivals = relay.arrivals();
            assertEquals(503, sendRequest(relay).status());
            assertEquals(arrivals, relay.arrivals());
            RelayFixture.await(drained);
        }
    }

    private static Future<Void> drain(RelayFixture relay) {
        Promise<Void> drained = Promise.promise();
        relay.vertx().runOnContext(ignored -> relay.server().drain().drained().onComplete(drained));
        return drained.future();
    }

    /** A port that is open until the process ends takes requests that are cut by its end. */
    @Test
    void closesItsPortBeforeTheStopIsComplete() throws Exception {
        try (RelayFixture relay = new RelayFixture()) {
            RelayFixture.await(drain(relay));
            awaitClosedPort(relay);
            assertEquals(0, relay.arrivals());
        }
    }

    /** A response that has been handed to the connection is lost if the process ends before it has been sent. */
    @Test
    void waitsForACallerThatReadsItsResponseSlowly() throws Exception {
        try (RelayFixture relay = new RelayFixture()) {
            String head = "HTTP/1.1 200 OK\r\nattempt: ATTEMPT\r\nsignature: s\r\nContent-Length: " + LARGE_BYTES;
            String body = "x".repeat(LARGE_BYTES);
            relay.plainUpstreams.forEach(upstream -> upstream.reply(head + "\r\n\r\n" + body, End.FIN));
            Future<Void> drained;
            try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), relay.port())) {
                drained = drain(relay);
                String request = RawResponse.request("GET", "/safe/x", "", "attempt: a", "remaining: 1200");
                caller.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
                awaitClosedPort(relay);
                assertFalse(drained.isComplete());
                String response = new String(caller.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
                assertTrue(response.endsWith(body));
            }
            RelayFixture.await(drained);
        }
    }

    /** A connection that is closed with unread bytes is reset, and the caller may lose the refusal. */
    @Test
    void readsARefusedRequestToItsEndBeforeItClosesTheConnection() throws Exception {
        try (RelayFixture relay = new RelayFixture();
                Socket caller = new Socket(InetAddress.getLoopbackAddress(), relay.port())) {
            Future<Void> drained = drain(relay);
            while (sendRequest(relay).status() == 200) {
                assertFalse(drained.isComplete());
            }
            String request = RawResponse.request("POST", "/safe/x", "body", "attempt: c", "remaining: 1200");
            int head = request.length() - "body".length();
            caller.getOutputStream().write(request.substring(0, head).getBytes(StandardCharsets.UTF_8));
            byte[] status = caller.getInputStream().readNBytes("HTTP/1.1 503".length());
            assertEquals("HTTP/1.1 503", new String(status, StandardCharsets.UTF_8));
            caller.getOutputStream().write(request.substring(head).getBytes(StandardCharsets.UTF_8));
            String rest = new String(caller.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertTrue(rest.contains("connection: close"), rest);
            RelayFixture.await(drained);
        }
    }

    /**
     * Guards against a request that is complete only late in the grace period: it was passed on although the daemon
     * took no requests any more, and cut with the end of the process, also where it may not be repeated.
     */
    @Test
    void refusesARequestThatIsCompleteOnlyAfterAdmissionHasEnded() throws Exception {
        try (RelayFixture relay = new RelayFixture();
                Socket caller = new Socket(InetAddress.getLoopbackAddress(), relay.port())) {
            Future<Void> drained = drain(relay);
            String request = RawResponse.request("POST", "/unsafe/x", "body", "attempt: c", "remaining: 4000");
            caller.getOutputStream()
                    .write(request.substring(0, request.length() - 1).getBytes(StandardCharsets.UTF_8));
            while (sendRequest(relay).status() == 200) {
                assertFalse(drained.isComplete());
            }
            int arrivals = relay.arrivals();
            caller.getOutputStream()
                    .write(request.substring(request.length() - 1).getBytes(StandardCharsets.UTF_8));
            RawResponse response = RawResponse.read(caller.getInputStream());
            assertEquals(503, response.status());
            assertTrue(response.head().contains("retry-after"));
            assertEquals(arrivals, relay.arrivals());
            RelayFixture.await(drained);
        }
    }

    private static void awaitClosedPort(RelayFixture relay) {
        long end = System.nanoTime() + LIMIT_NANOS;
        while (System.nanoTime() < end) {
            try {
                RawResponse.send(relay.port(), "GET", "/safe/x", "", "attempt: b", "remaining: 10");
            } catch (ConnectException e) {
                return;
            } catch (IOException e) {
                // The connection was closed, as the port is being closed.
            }
        }
        fail("the port is still open");
    }
}
