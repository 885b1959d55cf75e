package org.endivehold.relay.serve;

import org.endivehold.relay.engine.PromptNeed;

/** Watches one attempt for silence, and tells when it has been silent for too long. */
final class SilenceWatch {
    /** An engine from which another request heard in this time is alive, in milliseconds. */
    private static final double ALIVE_MILLIS = 700;
    /** Pause between looks for a better engine while an engine is silent, in milliseconds. */
    private static final long LOOK_AGAIN_MILLIS = 200;

    private final RelayContext context;
    private final StreamAttempt attempt;
    private final PromptNeed need;
    private final Runnable silent;
    private long timer = -1;
    private boolean stopped;

    /**
     * Creates a watch.
     *
     * @param context clock, account and health
     * @param attempt the attempt
     * @param need aims of the request
     * @param silent runs when the attempt has been silent for too long; it watches no further by itself
     */
    SilenceWatch(RelayContext context, StreamAttempt attempt, PromptNeed need, Runnable silent) {
        this.context = context;
        this.attempt = attempt;
        this.need = need;
        this.silent = silent;
    }

    void start() {
        double limit = limit();
        after(attempt.heardAt() + limit - context.now(), () -> look(limit));
    }

    /** Looks once more in a while: no better engine was found. */
    void again() {
        after(LOOK_AGAIN_MILLIS, this::start);
    }

    void stop() {
        stopped = true;
        if (timer >= 0) {
            context.vertx().cancelTimer(timer);
            timer = -1;
        }
    }

    private void look(double limit) {
        double silence = context.now() - attempt.heardAt();
        boolean alive = context.health().silentMillis(attempt.job().writer(), context.now()) < ALIVE_MILLIS;
        if (silence < limit - 1) {
            start();
        } else if (alive && !attempt.begun()) {
            after(ALIVE_MILLIS, this::start);
        } else {
            silent.run();
        }
    }

    private double limit() {
        double reads = context.engines().board().pendingReadMillis(attempt.job().writer());
        return attempt.begun()
                ? SilenceLimit.betweenEvents(need, reads)
                : SilenceLimit.beforeFirst(need, attempt.placement().firstMillis(), reads);
    }

    private void after(double millis, Runnable action) {
        if (stopped) {
            return;
        }
        timer = context.vertx().setTimer(Math.max(1, (long) millis), fired -> {
            timer = -1;
            if (!stopped && !attempt.ended()) {
                action.run();
            }
        });
    }
}
