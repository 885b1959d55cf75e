package org.endivehold.relay.simulation;

import java.util.List;
import org.endivehold.relay.engine.EngineJob;
import org.endivehold.relay.engine.PromptNeed;

/** One request of a caller, who leaves after a silence, comes back once when refused, and gives up at the deadline. */
final class SimulatedRequest {
    /** Tokens of one event. */
    private static final long EVENT_TOKENS = 34;
    /** Way of a request or an event between caller and daemon, in milliseconds. */
    private static final double WAY_MILLIS = 3;

    private final PromptKind kind;
    private final double tokens;
    private final VirtualTime time;
    private final Outcomes outcomes;
    private final double bornAt;
    private SimulatedDaemon daemon;
    private List<SimulatedEngine> engines = List.of();
    private EngineJob job;
    private double triedAt;
    private double heardAt;
    private int reads;
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
        this.bornAt = time.now();
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
        double elapsed = time.now() - triedAt;
        double remaining = bornAt + kind.deadlineMillis() - time.now();
        return new PromptNeed(
                (long) tokens,
                eventsLeft * EVENT_TOKENS,
                kind.firstAimMillis(),
                kind.gapAimMillis(),
                elapsed,
                remaining);
    }

    void tryAt(SimulatedDaemon target) {
        daemon = target;
        triedAt = time.now();
        heardAt = time.now();
        tries++;
        watch();
        daemon.take(this);
    }

    private void watch() {
        int watched = tries;
        double until = Math.min(heardAt + kind.patienceMillis(), bornAt + kind.deadlineMillis());
        time.after(until - time.now(), () -> {
            double limit = Math.min(heardAt + kind.patienceMillis(), bornAt + kind.deadlineMillis());
            if (ended || watched != tries) {
                return;
            }
            if (time.now() < limit) {
                watch();
            } else {
                end(false);
            }
        });
    }

    /** The daemon has sent it to engines. */
    void sent(EngineJob sentJob, List<SimulatedEngine> all) {
        job = sentJob;
        time.after(WAY_MILLIS, () -> {
            if (ended || !sentJob.equals(job)) {
                return;
            }
            engines = all;
            reads = all.size();
            double millis = all.get(0).profile().prefillMillis((long) tokens, reads);
            SimulatedEngine.Read first = new SimulatedEngine.Read(this, reads > 1, tokens / reads, millis);
            all.get(0).admit(first);
            for (SimulatedEngine helper : all.subList(1, reads)) {
                helper.read(new SimulatedEngine.Read(this, true, tokens / reads, millis));
            }
        });
    }

    void wasRead(SimulatedEngine engine) {
        reads--;
        if (!ended && reads == 0 && engines.contains(engine)) {
            engines.get(0).write(this);
        }
    }

    void event() {
        if (ended) {
            return;
        }
        if (begun) {
            late = late || time.now() - heardAt > kind.gapAimMillis();
        } else {
            begun = true;
            late = time.now() + 2 * WAY_MILLIS - bornAt > kind.firstAimMillis();
            daemon.began(this);
        }
        heardAt = time.now();
        eventsLeft--;
        if (eventsLeft == 0) {
            end(true);
        }
    }

    /** The daemon refuses it; the caller comes back once. */
    void refused(double retryAfterMillis) {
        double left = bornAt + kind.deadlineMillis() - time.now();
        leaveEngines();
        if (tries > 1 || begun) {
            end(false);
            return;
        }
        tries++;
        time.after(Math.min(retryAfterMillis, left / 3), () -> {
            tries--;
            tryAt(outcomes.anyDaemon());
        });
    }

    private void end(boolean served) {
        ended = true;
        leaveEngines();
        daemon.gone(this);
        if (served) {
            outcomes.served(kind, tokens, !late);
        } else {
            outcomes.lost(kind);
        }
    }

    private void leaveEngines() {
        engines.forEach(engine -> engine.leave(this));
        engines = List.of();
    }
}
