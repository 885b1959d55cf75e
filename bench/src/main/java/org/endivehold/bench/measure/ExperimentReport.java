package org.endivehold.bench.measure;

import java.util.List;

/**
 * Report of an experiment; its JSON file uses the component names as keys.
 *
 * @param experiment name of the experiment
 * @param size name of the example site
 * @param seed seed of the workload
 * @param speed speed-up factor of the engines; daemons, network and heartbeat periods run in real time
 * @param daemons number of daemons
 * @param engines number of engines
 * @param targets targets, with the values measured for the first policy
 * @param policies figures of each policy: the one under test, then the baselines
 * @param processors number of processors of the machine
 * @param loadAverage load average of the machine at the end of the run
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
    /** Makes unmodifiable copies of the lists. */
    public ExperimentReport {
        targets = List.copyOf(targets);
        policies = List.copyOf(policies);
    }

    /**
     * A target: a bound and the value measured against it.
     *
     * @param name what is measured, with its unit
     * @param bound the bound
     * @param measured the measured value
     * @param met whether the measured value is within the bound
     */
    public record Target(String name, double bound, double measured, boolean met) {}

    /**
     * Compares the figures of a policy with the targets.
     *
     * @param policy figures of the policy
     * @param speed speed-up factor of the engines, by which time bounds are divided
     * @return the targets for which the experiment has figures
     */
    public static List<Target> targets(PolicyReport policy, double speed) {
        return Targets.of(policy, speed);
    }
}
