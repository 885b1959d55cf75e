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
    private RequestDaemon daemon;
    private List<SimulatedEngine> engines = List.of();
    private EngineJob job;
    private double submittedAt;
    private double silentSince;
    private int pendingPrefills;
    private int eventsLeft;
    private int tries;
    private boolean firstEventSeen;
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

    void submitTo(RequestDaemon target) {
        daemon = target;
        submittedAt = time.now();
        silentSince = time.now();
        tries++;
        watchSilence();
        daemon.submit(this);
    }

    private void watchSilence() {
        int watchedTry = tries;
        double until = Math.min(silentSince + kind.maxSilenceMillis(), arrivedAt + kind.deadlineMillis());
        time.after(until - time.now(), () -> {
            double limit = Math.min(silentSince + kind.maxSilenceMillis(), arrivedAt + kind.deadlineMillis());
            if (ended || watchedTry != tries) {
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
    void placed(EngineJob placedJob, List<SimulatedEngine> chosen) {
        job = placedJob;
        time.after(NETWORK_DELAY_MILLIS, () -> {
            if (ended || !placedJob.equals(job)) {
                return;
            }
            engines = chosen;
            pendingPrefills = chosen.size();
            double millis = chosen.get(0).profile().prefillMillis((long) tokens, pendingPrefills);
            SimulatedEngine.Prefill first =
                    new SimulatedEngine.Prefill(this, pendingPrefills > 1, tokens / pendingPrefills, millis);
            chosen.get(0).admit(first);
            for (SimulatedEngine helper : chosen.subList(1, pendingPrefills)) {
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
        if (firstEventSeen) {
            late = late || time.now() - silentSince > kind.gapTargetMillis();
        } else {
            firstEventSeen = true;
            late = time.now() + 2 * NETWORK_DELAY_MILLIS - arrivedAt > kind.firstEventTargetMillis();
            daemon.firstEvent(this);
        }
        silentSince = time.now();
        eventsLeft--;
        if (eventsLeft == 0) {
            end(true);
        }
    }

    /** The daemon refused the request; the caller retries once. */
    void refused(double retryAfterMillis) {
        double left = arrivedAt + kind.deadlineMillis() - time.now();
        leaveEngines();
        if (tries > 1 || firstEventSeen) {
            end(false);
            return;
        }
        // Already counted here, so that the silence watch of the refused try ends.
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
