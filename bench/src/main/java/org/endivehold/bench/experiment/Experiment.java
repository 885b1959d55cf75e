package org.endivehold.bench.experiment;

import java.util.List;
import org.endivehold.bench.workload.Phase;

/**
 * One experiment.
 *
 * @param name the word on the command line
 * @param phases what arrives
 * @param disturbances what happens meanwhile, in order of time
 * @param daemonsDie whether callers may see connections break before an answer begins
 */
public record Experiment(String name, List<Phase> phases, List<Disturbance> disturbances, boolean daemonsDie) {
    /** Copies the lists. */
    public Experiment {
        phases = List.copyOf(phases);
        disturbances = List.copyOf(disturbances);
    }
}
