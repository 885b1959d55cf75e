package org.endivehold.relay.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Promise;
import org.endivehold.relay.serve.ScriptedUpstream.End;
import org.junit.jupiter.api.Test;

/** A daemon that stops serves what it takes, and takes nothing that might not end in time. */
class DrainTest {
    private static final String GOOD =
            "HTTP/1.1 200 OK\r\nattempt: ATTEMPT\r\nsignature: s\r\nContent-Length: 2\r\n\r\nok";
    private static final int MOST_REQUESTS = 2_000;

    private static RawAnswer ask(RelayFixture relay) throws Exception {
        relay.plain.forEach(upstream -> upstream.reply(GOOD, End.FIN));
        return relay.send("GET", "/safe/x", "", "attempt: a", "remaining: 1200");
    }

    @Test
    void aFleetThatRollsWithFewReadyDaemonsGetsNoStreamCut() throws Exception {
        try (RelayFixture relay = new RelayFixture()) {
            Promise<Void> drained = Promise.promise();
            relay.vertx().runOnContext(ignored -> relay.server().drain().onComplete(drained));
            assertEquals(200, ask(relay).status());
            RawAnswer answer = ask(relay);
            int asked = 0;
            while (answer.status() == 200 && asked < MOST_REQUESTS) {
                answer = ask(relay);
                asked++;
            }
            assertEquals(503, answer.status());
            assertTrue(answer.head().contains("retry-after"));
            int arrivals = relay.arrivals();
            assertEquals(503, ask(relay).status());
            assertEquals(arrivals, relay.arrivals());
            RelayFixture.await(drained.future());
        }
    }
}
