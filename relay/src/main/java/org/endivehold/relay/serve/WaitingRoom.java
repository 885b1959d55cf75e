package org.endivehold.relay.serve;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Requests that wait until an engine has room.
 *
 * <p>Those with the least time left until their aim go first. Whoever has waited too long is refused, so that the
 * caller still has time to come back.
 */
final class WaitingRoom {
    /** Pause after which waiting requests are tried again even if nothing was heard, in milliseconds. */
    private static final int RETRY_MILLIS = 25;
    /** Requests that may wait. */
    private static final int MAX_WAITING = 400;
    /** Least time after which a refused caller may come back, in milliseconds. */
    private static final int RETRY_AFTER_MILLIS = 400;

    private final Vertx vertx;
    private final UniformRandomProvider random;
    private final Set<StreamFlow> waiting = new LinkedHashSet<>();
    private boolean scheduled;

    WaitingRoom(Vertx vertx, UniformRandomProvider random) {
        this.vertx = vertx;
        this.random = random;
    }

    void add(StreamFlow flow) {
        if (waiting.size() >= MAX_WAITING || flow.waitedTooLong()) {
            flow.refuse();
            return;
        }
        waiting.add(flow);
        schedule(RETRY_MILLIS);
    }

    void remove(StreamFlow flow) {
        waiting.remove(flow);
    }

    /** Tries the waiting requests soon: work has ended somewhere. */
    void room() {
        if (!waiting.isEmpty()) {
            schedule(1);
        }
    }

    double retryAfterMillis() {
        return RETRY_AFTER_MILLIS + random.nextInt(RETRY_AFTER_MILLIS) + 20.0 * waiting.size();
    }

    private void schedule(int millis) {
        if (!scheduled) {
            scheduled = true;
            vertx.setTimer(millis, timer -> serve());
        }
    }

    private void serve() {
        scheduled = false;
        List<StreamFlow> order = new ArrayList<>(waiting);
        order.sort(Comparator.comparingDouble(
                f -> f.need().firstAimMillis() - f.need().elapsedMillis()));
        for (StreamFlow flow : order) {
            if (flow.dispatch()) {
                waiting.remove(flow);
            } else if (flow.waitedTooLong()) {
                waiting.remove(flow);
                flow.refuse();
            }
        }
        if (!waiting.isEmpty()) {
            schedule(RETRY_MILLIS);
        }
    }
}
