package org.endivehold.relay.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.endivehold.relay.engine.AdmissionPolicy;
import org.endivehold.relay.engine.Placement;
import org.endivehold.relay.engine.PromptNeed;
import org.endivehold.relay.route.EngineProfile;

/** Engines, daemons and callers with one seed. */
final class Simulation {
    static final EngineProfile PROFILE = new EngineProfile(11, 405_000, 34, 1.31, 0.000917, 0.00213, 154, 0.162, 2_048);
    /** Time after the last arrival in which everything ends, in milliseconds. */
    private static final double REST_MILLIS = 20_000;
    /** Largest factor of a kind's rate, for thinning. */
    private static final double MOST_FACTOR = 4;

    /** How much more often than usual requests of a kind arrive at a time. */
    @FunctionalInterface
    interface Surge {
        double factor(PromptKind kind, double millis);
    }

    private final VirtualTime time = new VirtualTime();
    private final List<SimulatedEngine> engines = new ArrayList<>();
    private final Map<String, SimulatedEngine> byId = new HashMap<>();
    private final List<SimulatedDaemon> daemons = new ArrayList<>();
    private final Random arrivals;
    private final Random callers;
    private final double newsMillis;
    private final Outcomes outcomes = new Outcomes(this::anyDaemon);
    private boolean rule = true;

    /**
     * Creates a fleet.
     *
     * @param seed seed of the load
     * @param engineCount engines
     * @param daemonCount daemons
     * @param newsMillis time after which a daemon hears of another's request
     */
    Simulation(long seed, int engineCount, int daemonCount, double newsMillis) {
        this.arrivals = new Random(seed);
        this.callers = new Random(seed + 1);
        this.newsMillis = newsMillis;
        for (int i = 0; i < engineCount; i++) {
            SimulatedEngine engine = new SimulatedEngine("engine-" + i, PROFILE, time);
            engines.add(engine);
            byId.put(engine.id(), engine);
        }
        for (int i = 0; i < daemonCount; i++) {
            daemons.add(new SimulatedDaemon("daemon-" + i, this));
        }
    }

    /** Sends every request at once wherever it is least harmful, as a comparison. */
    Simulation withoutRule() {
        rule = false;
        return this;
    }

    boolean starts(Placement placement, PromptNeed need) {
        return !rule || AdmissionPolicy.admits(placement, need);
    }

    boolean gaveUpWaiting(double readMillis, PromptNeed need) {
        return AdmissionPolicy.shouldRefuse(readMillis, need);
    }

    Outcomes run(List<PromptKind> kinds, Surge surge, double millis) {
        kinds.forEach(kind -> arrive(kind, surge, millis));
        time.runUntil(millis + REST_MILLIS);
        return outcomes;
    }

    private void arrive(PromptKind kind, Surge surge, double until) {
        double pause = -Math.log(1 - arrivals.nextDouble()) / (kind.perSecond() * MOST_FACTOR) * 1_000;
        time.after(pause, () -> {
            if (time.now() >= until) {
                return;
            }
            if (arrivals.nextDouble() < surge.factor(kind, time.now()) / MOST_FACTOR) {
                double tokens = kind.tokens().draw(arrivals);
                int events = (int) Math.round(kind.events().draw(arrivals));
                new SimulatedRequest(kind, tokens, Math.max(1, events), time, outcomes).tryAt(anyDaemon());
            }
            arrive(kind, surge, until);
        });
    }

    private SimulatedDaemon anyDaemon() {
        return daemons.get(callers.nextInt(daemons.size()));
    }

    VirtualTime time() {
        return time;
    }

    double newsMillis() {
        return newsMillis;
    }

    List<SimulatedEngine> engines() {
        return engines;
    }

    List<SimulatedDaemon> daemons() {
        return daemons;
    }

    SimulatedEngine engine(String id) {
        return byId.get(id);
    }
}
