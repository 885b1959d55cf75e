package org.endivehold.relay.simulation;

import java.util.List;
import org.endivehold.relay.engine.EngineJob;
import org.endivehold.relay.engine.PromptNeed;

/**
 * One request of a caller. The caller disconnects after too long a silence, retries once if it is refused, and gives up
 * at the deadline.
 */
final class SimulatedRequest {
    /** Tokens of one event. */
    private static final long EVENT_TOKENS = 34;
    /** One-way network delay of a request or an event, in milliseconds. */
    private static final double NETWORK_DELAY_MILLIS = 3;

    private final PromptKind kind;
    private final double tokens;
    private final VirtualTime time;
    private final Outcomes outcomes;
    private final double arrivedAt;
    private SimulatedDaemon daemon;
    private List<SimulatedEngine> engines = List.of();
    private EngineJob job;
    private double submittedAt;
    private double heardAt;
    private int pendingPrefills;
    private int eventsLeft;
    private int tries;
    private boolean begun;
    private boolean late;
    private boolean ended;

    SimulatedRequest(PromptKind kind, double tokens, int events, VirtualTime time, Outcomes outcomes) {
        this.kind = kind;
        this.tokens = tokens;
        this.eventsLeft = events;
        this.time = time;
        this.outcomes = outcomes;
        this.arrivedAt = time.now();
        outcomes.asked(kind, tokens);
    }

    double tokens() {
        return tokens;
    }

    EngineJob job() {
        return job;
    }

    boolean ended() {
        return ended;
    }

    PromptNeed need() {
        double elapsed = time.now() - submittedAt;
        double remaining = arrivedAt + kind.deadlineMillis() - time.now();
        return new PromptNeed(
                (long) tokens,
                eventsLeft * EVENT_TOKENS,
                kind.firstEventTargetMillis(),
                kind.gapTargetMillis(),
                elapsed,
                remaining);
    }

    void submitTo(SimulatedDaemon target) {
        daemon = target;
        submittedAt = time.now();
        heardAt = time.now();
        tries++;
        watchSilence();
        daemon.submit(this);
    }

    private void watchSilence() {
        int watched = tries;
        double until = Math.min(heardAt + kind.maxSilenceMillis(), arrivedAt + kind.deadlineMillis());
        time.after(until - time.now(), () -> {
            double limit = Math.min(heardAt + kind.maxSilenceMillis(), arrivedAt + kind.deadlineMillis());
            if (ended || watched != tries) {
                return;
            }
            if (time.now() < limit) {
                watchSilence();
            } else {
                end(false);
            }
        });
    }

    /** The daemon placed the request; it reaches the engines after the network delay. */
    void placed(EngineJob placedJob, List<SimulatedEngine> all) {
        job = placedJob;
        time.after(NETWORK_DELAY_MILLIS, () -> {
            if (ended || !placedJob.equals(job)) {
                return;
            }
            engines = all;
            pendingPrefills = all.size();
            double millis = all.get(0).profile().prefillMillis((long) tokens, pendingPrefills);
            SimulatedEngine.Prefill first =
                    new SimulatedEngine.Prefill(this, pendingPrefills > 1, tokens / pendingPrefills, millis);
            all.get(0).admit(first);
            for (SimulatedEngine helper : all.subList(1, pendingPrefills)) {
                helper.prefill(new SimulatedEngine.Prefill(this, true, tokens / pendingPrefills, millis));
            }
        });
    }

    /** An engine finished its prefill; after the last one the first engine starts to decode. */
    void prefilled(SimulatedEngine engine) {
        pendingPrefills--;
        if (!ended && pendingPrefills == 0 && engines.contains(engine)) {
            engines.get(0).decode(this);
        }
    }

    /** The first engine produced an event. */
    void event() {
        if (ended) {
            return;
        }
        if (begun) {
            late = late || time.now() - heardAt > kind.gapTargetMillis();
        } else {
            begun = true;
            late = time.now() + 2 * NETWORK_DELAY_MILLIS - arrivedAt > kind.firstEventTargetMillis();
            daemon.firstEvent(this);
        }
        heardAt = time.now();
        eventsLeft--;
        if (eventsLeft == 0) {
            end(true);
        }
    }

    /** The daemon refused the request; the caller retries once. */
    void refused(double retryAfterMillis) {
        double left = arrivedAt + kind.deadlineMillis() - time.now();
        leaveEngines();
        if (tries > 1 || begun) {
            end(false);
            return;
        }
        tries++;
        time.after(Math.min(retryAfterMillis, left / 3), () -> {
            tries--;
            submitTo(outcomes.randomDaemon());
        });
    }

    private void end(boolean served) {
        ended = true;
        leaveEngines();
        daemon.ended(this);
        if (served) {
            outcomes.served(kind, tokens, !late);
        } else {
            outcomes.lost(kind);
        }
    }

    private void leaveEngines() {
        engines.forEach(engine -> engine.remove(this));
        engines = List.of();
    }
}
