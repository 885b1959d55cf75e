package org.endivehold.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * A daemon that stops while the store is slow. If its port stays open while it waits for the store, it reads requests
 * that the end of the process cuts.
 */
class PlannedStopTest {
    private static final int LIMIT_SECONDS = 20;
    /** More than are sent until the grace period is over. */
    private static final int MAX_REQUESTS = 50_000;

    @Test
    void readsNoRequestWhileItWaitsForTheStore() throws Exception {
        try (TestFleet fleet = new TestFleet(1)) {
            fleet.leaveLeaseEndsUnanswered(0);
            Future<Void> stopped = fleet.stop(0);
            TestFleet.Answer answer = send(fleet, 0);
            int sent = 1;
            while (answer.status() != 0 && !stopped.isComplete() && sent < MAX_REQUESTS) {
                assertTrue(answer.complete());
                answer = send(fleet, sent);
                sent++;
            }
            if (stopped.isComplete()) {
                // The last request may have come just before the port closed; one after the stop must not be read.
                answer = send(fleet, sent);
                sent++;
            }
            assertEquals(0, answer.status(), "the port is open until the end of the process");
            assertEquals(0, fleet.runs("a" + (sent - 1)));
            stopped.toCompletionStage().toCompletableFuture().get(LIMIT_SECONDS, TimeUnit.SECONDS);
        }
    }

    private static TestFleet.Answer send(TestFleet fleet, int number) throws Exception {
        return fleet.send(0, TestFleet.Kind.UNSAFE, "a" + number)
                .toCompletionStage()
                .toCompletableFuture()
                .get(LIMIT_SECONDS, TimeUnit.SECONDS);
    }
}
