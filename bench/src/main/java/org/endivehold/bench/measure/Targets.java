package org.endivehold.bench.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.endivehold.bench.caller.Outcome;
import org.endivehold.bench.experiment.Experiments;
import org.endivehold.bench.workload.LengthBand;
import org.endivehold.bench.workload.Phase;

/** Performance targets. Bounds on times are divided by the speed-up of the engines. */
final class Targets {
    private static final double MAX_BLOCKING_RATIO = 1.5;
    private static final double MAX_EXCESS_MILLIS = 390;
    private static final double MIN_SERVED_SHARE = 0.99;

    private final PolicyReport report;
    private final List<ExperimentReport.Target> targets = new ArrayList<>();

    private Targets(PolicyReport report) {
        this.report = report;
    }

    /**
     * Compares a policy with the targets for which its experiment has figures.
     *
     * @param report figures of the policy
     * @param speed speed-up factor of the engines
     * @return the targets with their measured values
     */
    static List<ExperimentReport.Target> of(PolicyReport report, double speed) {
        Targets all = new Targets(report);
        all.addBlockingRatio();
        for (LengthBand band : LengthBand.values()) {
            report.band(Phase.SURGE, band)
                    .ifPresent(b -> all.addUpperBound(
                            "p95 beyond bare prefill, surge " + band.label() + ", ms",
                            MAX_EXCESS_MILLIS / speed,
                            b.excessP95()));
        }
        all.addServedShare(Experiments.OUT);
        all.addServedShare(Experiments.BACK);
        all.addUpperBound(
                "requests without answer or refusal by the deadline",
                0,
                report.outcomes().getOrDefault(Outcome.SILENT, 0L));
        return all.targets;
    }

    private void addBlockingRatio() {
        Optional<Double> ratio = blockingRatio(report);
        ratio.ifPresent(value ->
                addUpperBound("blocking: p95 of short prompts with long ones / without", MAX_BLOCKING_RATIO, value));
    }

    /** Returns the p95 time to first token of 1k-4k prompts with long prompts, divided by the p95 without them. */
    static Optional<Double> blockingRatio(PolicyReport report) {
        Optional<BandFigures> without = report.band(Experiments.SHORT_ONLY, LengthBand.K1_K4);
        Optional<BandFigures> with = report.band(Phase.SURGE, LengthBand.K1_K4);
        return without.isEmpty() || with.isEmpty()
                ? Optional.empty()
                : Optional.of(with.get().p95() / without.get().p95());
    }

    private void addServedShare(String phase) {
        report.phase(phase)
                .ifPresent(p -> targets.add(new ExperimentReport.Target(
                        "interactive requests served, phase " + phase,
                        MIN_SERVED_SHARE,
                        p.share(),
                        p.share() >= MIN_SERVED_SHARE)));
    }

    private void addUpperBound(String name, double bound, double measured) {
        targets.add(new ExperimentReport.Target(name, bound, measured, measured <= bound));
    }
}
