package org.endivehold.bench.measure;

import java.util.List;

/**
 * The report of an experiment, as its JSON file has it.
 *
 * @param experiment its name
 * @param size the site
 * @param seed seed of the workload
 * @param speed factor that speeds the engines up; daemons, network and heartbeat periods are not sped up
 * @param daemons number of daemons
 * @param engines number of engines
 * @param targets what was aimed at and what was reached, by the first policy
 * @param policies figures, the policy of interest first
 * @param processors processors of the machine
 * @param loadAverage load average of the machine at the end
 */
public record ExperimentReport(
        String experiment,
        String size,
        long seed,
        double speed,
        int daemons,
        int engines,
        List<Target> targets,
        List<PolicyReport> policies,
        int processors,
        double loadAverage) {
    /** Copies the lists. */
    public ExperimentReport {
        targets = List.copyOf(targets);
        policies = List.copyOf(policies);
    }

    /**
     * A bound and what was measured.
     *
     * @param name what
     * @param bound the bound
     * @param measured the figure
     * @param met whether the bound is met
     */
    public record Target(String name, double bound, double measured, boolean met) {}

    /**
     * Compares a policy with the stated bounds.
     *
     * @param policy its figures
     * @param speed factor that speeds the engines up
     * @return the bounds that there are figures for
     */
    public static List<Target> targets(PolicyReport policy, double speed) {
        return Targets.of(policy, speed);
    }
}
