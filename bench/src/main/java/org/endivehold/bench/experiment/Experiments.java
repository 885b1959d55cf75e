package org.endivehold.bench.experiment;

import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.endivehold.bench.fleet.Fleet;
import org.endivehold.bench.fleet.FleetDaemon;
import org.endivehold.bench.workload.Phase;
import org.endivehold.config.AvailabilityZone;
import org.endivehold.config.Configuration;
import org.endivehold.error.EndiveholdException;
import org.endivehold.misc.ZoneName;
import org.endivehold.standin.engine.EngineStandin;
import org.endivehold.standin.store.StoreFaults;

/** The predefined experiments. */
public final class Experiments {
    /** Label of the disturbance that takes a zone out of service. */
    public static final String ZONE_OUT = "zone out";

    /** Label of the disturbance that returns the zone to service. */
    public static final String ZONE_IN = "zone in";

    /** Phase without prompts of more than 32,000 tokens. */
    public static final String SHORT_ONLY = "short-only";

    /** Phase in which a zone is out of service, after its time to drain. */
    public static final String OUT = "out";

    /** Phase after the zone has returned to service. */
    public static final String BACK = "back";

    private static final long LONG_PROMPT_TOKENS = 32_000;
    // Loads are prompt tokens per second as a share of the bare prefill rate of all engines, see Phase.
    private static final double QUIET_LOAD = 0.15;
    private static final double SURGE_LOAD = 0.55;
    private static final double ZONE_LOAD = 0.4;
    private static final double FAULT_LOAD = 0.35;
    private static final long WARM_UP_MILLIS = 3_000;
    private static final int COLD_ENGINES = 4;

    private Experiments() {}

    /**
     * Finds an experiment by name.
     *
     * @param name name on the command line
     * @return the experiment; empty if there is none of this name
     */
    public static Optional<Experiment> of(String name) {
        return all().stream().filter(e -> e.name().equals(name)).findFirst();
    }

    /**
     * Returns all experiments.
     *
     * @return the experiments, in increasing order of complexity
     */
    public static List<Experiment> all() {
        return List.of(thin(), lengths(), blocking(), zone(), cold(), crash(), storeOutage());
    }

    /**
     * Returns the warm-up, which runs first and is not reported: without it the figures of the first policy would
     * include class loading and JIT compilation.
     *
     * @return an experiment of one phase
     */
    public static Experiment warmUp() {
        return new Experiment("warm-up", List.of(Phase.of("warm-up", WARM_UP_MILLIS, SURGE_LOAD)), List.of(), false);
    }

    private static Experiment thin() {
        return new Experiment("thin", List.of(Phase.of(Phase.SURGE, 5_000, QUIET_LOAD)), List.of(), false);
    }

    private static Experiment lengths() {
        List<Phase> phases =
                List.of(Phase.of(Phase.QUIET, 3_000, QUIET_LOAD), Phase.of(Phase.SURGE, 12_000, SURGE_LOAD));
        return new Experiment("lengths", phases, List.of(), false);
    }

    private static Experiment blocking() {
        List<Phase> phases = List.of(
                Phase.of(Phase.QUIET, 1_000, QUIET_LOAD),
                new Phase(SHORT_ONLY, 8_000, SURGE_LOAD, LONG_PROMPT_TOKENS),
                Phase.of(Phase.SURGE, 8_000, SURGE_LOAD));
        return new Experiment("blocking", phases, List.of(), false);
    }

    private static Experiment zone() {
        List<Phase> phases = List.of(
                Phase.of("before", 3_000, ZONE_LOAD),
                Phase.of("leaving", 5_000, ZONE_LOAD),
                Phase.of(OUT, 4_000, ZONE_LOAD),
                Phase.of(BACK, 7_000, ZONE_LOAD));
        List<Disturbance> disturbances = List.of(
                new Disturbance(3_000, ZONE_OUT, fleet -> setZone(fleet, AvailabilityZone.State.OUT)),
                new Disturbance(12_000, ZONE_IN, fleet -> setZone(fleet, AvailabilityZone.State.IN)));
        return new Experiment("zone", phases, disturbances, false);
    }

    private static Experiment cold() {
        List<Phase> phases =
                List.of(Phase.of(Phase.QUIET, 3_000, QUIET_LOAD), Phase.of(Phase.SURGE, 12_000, FAULT_LOAD));
        Disturbance restart = new Disturbance(5_000, "engines turn cold", fleet -> {
            List<EngineStandin> engines = fleet.standins().engines();
            engines.subList(0, COLD_ENGINES).forEach(EngineStandin::restart);
        });
        return new Experiment("cold", phases, List.of(restart), false);
    }

    private static Experiment crash() {
        List<Phase> phases =
                List.of(Phase.of(Phase.QUIET, 3_000, QUIET_LOAD), Phase.of(Phase.SURGE, 13_000, FAULT_LOAD));
        List<Disturbance> disturbances = List.of(
                new Disturbance(5_000, "daemon killed", Experiments::killFirst),
                new Disturbance(6_000, "daemon added", Fleet::addDaemon),
                new Disturbance(8_000, "daemon killed", Experiments::killFirst),
                new Disturbance(9_000, "daemon added", Fleet::addDaemon));
        return new Experiment("crash", phases, disturbances, true);
    }

    private static Experiment storeOutage() {
        List<Phase> phases =
                List.of(Phase.of(Phase.QUIET, 3_000, QUIET_LOAD), Phase.of(Phase.SURGE, 13_000, FAULT_LOAD));
        List<Disturbance> disturbances = List.of(
                new Disturbance(
                        4_000, "store out", fleet -> fleet.standins().store().faults(StoreFaults.OUTAGE)),
                new Disturbance(
                        13_000, "store back", fleet -> fleet.standins().store().faults(StoreFaults.NONE)));
        return new Experiment("store-outage", phases, disturbances, false);
    }

    private static void killFirst(Fleet fleet) throws EndiveholdException {
        FleetDaemon first =
                fleet.daemons().stream().filter(FleetDaemon::isLive).findFirst().orElseThrow();
        fleet.kill(first);
    }

    /** Publishes a configuration with a new state of the first zone, as an operator would. */
    private static void setZone(Fleet fleet, AvailabilityZone.State state) throws EndiveholdException {
        Configuration current = fleet.configuration();
        TreeMap<ZoneName, AvailabilityZone> zones = new TreeMap<>(current.zones());
        AvailabilityZone first = zones.firstEntry().getValue();
        zones.put(first.name(), new AvailabilityZone(first.name(), first.region(), state));
        fleet.publish(new Configuration(
                current.models(),
                current.versions(),
                current.adapters(),
                current.routes(),
                current.customers(),
                zones,
                current.upstreams()));
    }

    /**
     * Returns the zone that the experiment {@code zone} takes out of service.
     *
     * @param configuration the configuration
     * @return name of the first zone
     */
    public static ZoneName leavingZone(Configuration configuration) {
        return configuration.zones().firstKey();
    }
}
