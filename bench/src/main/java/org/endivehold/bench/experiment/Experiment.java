package org.endivehold.bench.experiment;

import java.util.List;
import org.endivehold.bench.workload.Phase;

/**
 * An experiment: a workload and the changes made to the fleet while it runs.
 *
 * @param name name on the command line
 * @param phases phases of the workload, in order
 * @param disturbances changes made to the fleet, in order of time
 * @param killsDaemons whether daemons are killed, so that callers may see connections fail before an answer begins
 */
public record Experiment(String name, List<Phase> phases, List<Disturbance> disturbances, boolean killsDaemons) {
    /** Makes unmodifiable copies of the lists. */
    public Experiment {
        phases = List.copyOf(phases);
        disturbances = List.copyOf(disturbances);
    }
}
