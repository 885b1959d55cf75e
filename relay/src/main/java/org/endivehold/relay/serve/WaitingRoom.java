package org.endivehold.relay.serve;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.endivehold.relay.engine.EngineBoard;
import org.endivehold.relay.engine.PromptNeed;
import org.endivehold.relay.engine.StartRule;

/** Requests that wait until engines suit them. Those that bring the most worth for an engine's time go first. */
final class WaitingRoom {
    /** Pause after which waiting requests are tried again even if nothing was heard, in milliseconds. */
    private static final int RETRY_MILLIS = 25;
    /** Requests that may wait. */
    private static final int MAX_WAITING = 400;
    /** Requests that are tried in one turn, so that a turn stays short. */
    private static final int MAX_TRIES = 8;
    /** Least time after which a refused caller may come back, in milliseconds. */
    private static final int RETRY_AFTER_MILLIS = 400;
    /** Further time for each request that waits, so that callers do not all come back together, in milliseconds. */
    private static final double RETRY_AFTER_EACH_MILLIS = 20;

    private final Vertx vertx;
    private final UniformRandomProvider random;
    private final EngineBoard board;
    private final Set<StreamFlow> waiting = new LinkedHashSet<>();
    private boolean scheduled;

    WaitingRoom(Vertx vertx, UniformRandomProvider random, EngineBoard board) {
        this.vertx = vertx;
        this.random = random;
        this.board = board;
    }

    void add(StreamFlow flow) {
        if (waiting.size() >= MAX_WAITING || flow.waitedEnough()) {
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

    /** Returns when a refused caller may come back. */
    double retryAfterMillis(PromptNeed need) {
        double spread = RETRY_AFTER_MILLIS + random.nextInt(RETRY_AFTER_MILLIS);
        double comeBack = StartRule.comeBackMillis(board.meanPendingReadMillis(), need);
        return spread + comeBack + RETRY_AFTER_EACH_MILLIS * waiting.size();
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
        order.sort(Comparator.comparingDouble(StreamFlow::worthOfTime).reversed());
        int tries = 0;
        for (StreamFlow flow : order) {
            if (tries < MAX_TRIES && flow.dispatch()) {
                waiting.remove(flow);
            } else if (flow.waitedEnough()) {
                waiting.remove(flow);
                flow.refuse();
            }
            tries++;
        }
        if (!waiting.isEmpty()) {
            schedule(RETRY_MILLIS);
        }
    }
}
