package org.endivehold.relay.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.endivehold.relay.serve.ScriptedUpstream.End;
import org.junit.jupiter.api.Test;

/**
 * A process that stood still finds requests whose callers have left meanwhile. None of them may be sent on: nobody
 * reads the answer, and the caller may have sent one that is not idempotent again.
 */
class LateSendTest {
    private static final String GOOD =
            "HTTP/1.1 200 OK\r\nattempt: ATTEMPT\r\nsignature: s\r\nContent-Length: 2\r\n\r\nok";
    private static final int CALLERS = 100;

    @Test
    void requestsOfCallersWhoHaveLeftAreNotSentOnAfterAStandstill() throws Exception {
        try (RelayFixture relay = new RelayFixture()) {
            relay.plainUpstreams.forEach(upstream -> upstream.reply(GOOD, End.FIN));
            assertEquals(200, relay.send("GET", "/safe/x", "", "attempt: first").status());
            List<Socket> callers = connect(relay);
            CountDownLatch standstill = new CountDownLatch(1);
            CountDownLatch standing = new CountDownLatch(1);
            relay.vertx().runOnContext(ignored -> {
                standing.countDown();
                awaitUninterrupted(standstill);
            });
            standing.await();
            for (Socket caller : callers) {
                String request = RawResponse.request("POST", "/unsafe/x", "body", "attempt: " + caller.getLocalPort());
                caller.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
                caller.close();
            }
            for (int i = 0; i <= CALLERS; i++) {
                relay.plainUpstreams.forEach(upstream -> upstream.reply(GOOD, End.FIN));
            }
            standstill.countDown();
            assertEquals(200, relay.send("GET", "/safe/x", "", "attempt: last").status());
            long sentOn = relay.requests().stream()
                    .filter(request -> request.startsWith("post"))
                    .count();
            assertEquals(0, sentOn);
        }
    }

    private static List<Socket> connect(RelayFixture relay) throws IOException {
        List<Socket> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            callers.add(new Socket(InetAddress.getLoopbackAddress(), relay.port()));
        }
        return callers;
    }

    private static void awaitUninterrupted(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
