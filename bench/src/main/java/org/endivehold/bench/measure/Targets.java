package org.endivehold.bench.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.endivehold.bench.caller.Outcome;
import org.endivehold.bench.experiment.Experiments;
import org.endivehold.bench.workload.LengthBand;
import org.endivehold.bench.workload.Phase;

/** The stated bounds. Times scale with the speed-up of the engines. */
final class Targets {
    private static final double BLOCKING_RATIO = 1.5;
    private static final double FIRST_TOKEN_MILLIS = 390;
    private static final double SERVED_SHARE = 0.99;

    private final PolicyReport report;
    private final List<ExperimentReport.Target> targets = new ArrayList<>();

    private Targets(PolicyReport report) {
        this.report = report;
    }

    /**
     * Compares a policy with the bounds that its experiment has figures for.
     *
     * @param report the policy's figures
     * @param speed factor that speeds the engines up
     * @return the bounds
     */
    static List<ExperimentReport.Target> of(PolicyReport report, double speed) {
        Targets all = new Targets(report);
        all.blocking();
        for (LengthBand band : LengthBand.values()) {
            report.band(Phase.SURGE, band)
                    .ifPresent(b -> all.atMost(
                            "p95 beyond bare prefill, surge " + band.word() + ", ms",
                            FIRST_TOKEN_MILLIS / speed,
                            b.excessP95()));
        }
        all.served(Experiments.OUT);
        all.served(Experiments.BACK);
        all.atMost(
                "requests without answer or refusal by the deadline",
                0,
                report.outcomes().getOrDefault(Outcome.SILENT, 0L));
        return all.targets;
    }

    private void blocking() {
        Optional<Double> ratio = blockingRatio(report);
        ratio.ifPresent(
                value -> atMost("blocking: p95 of short prompts with long ones / without", BLOCKING_RATIO, value));
    }

    /** Returns how much longer short prompts wait when long ones arrive too. */
    static Optional<Double> blockingRatio(PolicyReport report) {
        Optional<BandFigures> without = report.band(Experiments.SHORT_ONLY, LengthBand.K1_K4);
        Optional<BandFigures> with = report.band(Phase.SURGE, LengthBand.K1_K4);
        return without.isEmpty() || with.isEmpty()
                ? Optional.empty()
                : Optional.of(with.get().p95() / without.get().p95());
    }

    private void served(String phase) {
        report.phase(phase)
                .ifPresent(p -> targets.add(new ExperimentReport.Target(
                        "interactive requests served, phase " + phase,
                        SERVED_SHARE,
                        p.share(),
                        p.share() >= SERVED_SHARE)));
    }

    private void atMost(String name, double bound, double measured) {
        targets.add(new ExperimentReport.Target(name, bound, measured, measured <= bound));
    }
}
