package org.endivehold.relay.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Promise;
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
    private static final int MAX_REQUESTS = 2_000;

    private static RawResponse sendRequest(RelayFixture relay) throws Exception {
        relay.plainUpstreams.forEach(upstream -> upstream.reply(GOOD, End.FIN));
        return relay.send("GET", "/safe/x", "", "attempt: a", "remaining: 1200");
    }

    @Test
    void aDrainingDaemonServesRequestsAtFirstAndThenRefusesThem() throws Exception {
        try (RelayFixture relay = new RelayFixture()) {
            Promise<Void> drained = Promise.promise();
            relay.vertx().runOnContext(ignored -> relay.server().drain().onComplete(drained));
            assertEquals(200, sendRequest(relay).status());
            RawResponse response = sendRequest(relay);
            int sent = 0;
            while (response.status() == 200 && sent < MAX_REQUESTS) {
                response = sendRequest(relay);
                sent++;
            }
            assertEquals(503, response.status());
            assertTrue(response.head().contains("retry-after"));
            int arrivals = relay.arrivals();
            assertEquals(503, sendRequest(relay).status());
            assertEquals(arrivals, relay.arrivals());
            RelayFixture.await(drained.future());
        }
    }
}
