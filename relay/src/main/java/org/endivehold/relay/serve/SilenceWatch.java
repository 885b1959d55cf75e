package org.endivehold.relay.serve;

import org.endivehold.relay.engine.PromptNeed;

/** Watches one attempt of a stream and runs an action when no event has come for too long. */
final class SilenceWatch {
    /** An engine that sent an event to any request of this daemon within this time is alive, in milliseconds. */
    private static final double ALIVE_MILLIS = 700;
    /** Pause between searches for another engine while an attempt is silent, in milliseconds. */
    private static final long RECHECK_MILLIS = 200;

    private final RelayContext context;
    private final StreamAttempt attempt;
    private final PromptNeed need;
    private final Runnable onSilence;
    private long timer = -1;
    private boolean stopped;

    /**
     * Creates a watch; {@link #start} starts it.
     *
     * @param context clock, pending work and health of engines
     * @param attempt attempt to watch
     * @param need targets of the request
     * @param onSilence runs when the attempt has been silent for too long; the watch then pauses until it is started
     *     again
     */
    SilenceWatch(RelayContext context, StreamAttempt attempt, PromptNeed need, Runnable onSilence) {
        this.context = context;
        this.attempt = attempt;
        this.need = need;
        this.onSilence = onSilence;
    }

    void start() {
        double limit = limit();
        schedule(attempt.lastEventAt() + limit - context.now(), () -> check(limit));
    }

    /** Checks again after a pause: no better engine was found. */
    void checkLater() {
        schedule(RECHECK_MILLIS, this::start);
    }

    void stop() {
        stopped = true;
        if (timer >= 0) {
            context.vertx().cancelTimer(timer);
            timer = -1;
        }
    }

    private void check(double limit) {
        double silence = context.now() - attempt.lastEventAt();
        boolean alive = context.health().silentMillis(attempt.job().decodeEngine(), context.now()) < ALIVE_MILLIS;
        if (silence < limit - 1) {
            start();
        } else if (alive && !attempt.eventReceived()) {
            schedule(ALIVE_MILLIS, this::start);
        } else {
            onSilence.run();
        }
    }

    private double limit() {
        double prefillMillis = context.engineWork()
                .tracker()
                .pendingPrefillMillis(attempt.job().decodeEngine());
        return attempt.eventReceived()
                ? SilenceLimit.betweenEvents(need, prefillMillis)
                : SilenceLimit.beforeFirst(need, attempt.placement().firstTokenMillis(), prefillMillis);
    }

    private void schedule(double millis, Runnable action) {
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
