package org.endivehold.bench.measure;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.endivehold.bench.caller.Outcome;
import org.endivehold.bench.workload.LengthBand;
import org.endivehold.bench.workload.Phase;

/** Prints a report as plain-text tables. */
public final class TextReport {
    private final PrintStream out;

    /**
     * Creates a printer of reports.
     *
     * @param out destination of the text
     */
    public TextReport(PrintStream out) {
        this.out = out;
    }

    /**
     * Prints a report; the last lines give the ratios to the baselines and whether the invariants held.
     *
     * @param report the report
     * @return whether the first policy violated no invariant
     */
    public boolean print(ExperimentReport report) {
        line(
                "%nexperiment %s, size %s, %d daemons, %d engines, seed %d, engines sped up %.0f times"
                        + " (daemons, network and heartbeats are not)",
                report.experiment(), report.size(), report.daemons(), report.engines(), report.seed(), report.speed());
        counts(report);
        bands(report);
        targets(report);
        return summary(report);
    }

    private void counts(ExperimentReport report) {
        line(
                "%n%-18s %8s %8s %8s %7s %7s %5s %6s %7s %9s",
                "policy", "requests", "served", "refused", "failed", "broken", "cut", "wrong", "silent", "writes/s");
        for (PolicyReport policy : report.policies()) {
            line(
                    "%-18s %8d %8d %8d %7d %7d %5d %6d %7d %9.1f",
                    policy.policy(),
                    policy.requests(),
                    count(policy, Outcome.SERVED),
                    count(policy, Outcome.REFUSED),
                    count(policy, Outcome.FAILED),
                    count(policy, Outcome.BROKEN),
                    count(policy, Outcome.CUT),
                    count(policy, Outcome.WRONG),
                    count(policy, Outcome.SILENT),
                    policy.storeWritesPerSecond());
        }
        for (PolicyReport policy : report.policies()) {
            policy.errors().forEach((error, count) -> line("  %s: %d x %s", policy.policy(), count, error));
        }
    }

    private static long count(PolicyReport policy, Outcome outcome) {
        return policy.outcomes().getOrDefault(outcome, 0L);
    }

    private void bands(ExperimentReport report) {
        line(
                "%nTime to first token of interactive prompts, ms%n%-18s %-11s %-9s %6s %9s %9s %9s %9s %9s",
                "policy", "phase", "length", "count", "p50", "p95", "p99", "bare p95", "beyond");
        for (PolicyReport policy : report.policies()) {
            for (BandFigures band : policy.bands()) {
                if (band.count() > 0) {
                    line(
                            "%-18s %-11s %-9s %6d %9.1f %9.1f %9.1f %9.1f %9.1f",
                            policy.policy(),
                            band.phase(),
                            band.band(),
                            band.count(),
                            band.p50(),
                            band.p95(),
                            band.p99(),
                            band.bareP95(),
                            band.excessP95());
                }
            }
        }
    }

    private void targets(ExperimentReport report) {
        line("%nTargets, %s", report.policies().get(0).policy());
        for (ExperimentReport.Target target : report.targets()) {
            line(
                    "  %-62s bound %8.2f measured %8.2f %s",
                    target.name(), target.bound(), target.measured(), target.met() ? "met" : "MISSED");
        }
    }

    private boolean summary(ExperimentReport report) {
        PolicyReport first = report.policies().get(0);
        List<PolicyReport> baselines =
                report.policies().subList(1, report.policies().size());
        line("");
        for (PolicyReport baseline : baselines) {
            for (Violation violation : baseline.violations()) {
                line("baseline %s: %d x %s", baseline.policy(), violation.count(), violation.invariant());
            }
        }
        for (PolicyReport baseline : baselines) {
            ratio(first, baseline, Phase.SURGE);
            ratio(first, baseline, "out");
        }
        for (PolicyReport policy : report.policies()) {
            Targets.blockingRatio(policy).ifPresent(r -> line("blocking ratio %s: %.2f", policy.policy(), r));
        }
        for (Violation violation : first.violations()) {
            line("broken: %d x %s, such as %s", violation.count(), violation.invariant(), violation.example());
        }
        boolean held = first.violations().isEmpty();
        line("invariants: %s", held ? "held" : "BROKEN (" + first.violations().size() + ")");
        return held;
    }

    private void ratio(PolicyReport policy, PolicyReport baseline, String phase) {
        for (LengthBand band : LengthBand.values()) {
            Optional<BandFigures> figures = policy.band(phase, band);
            Optional<BandFigures> baselineFigures = baseline.band(phase, band);
            if (figures.isPresent() && baselineFigures.isPresent()) {
                line(
                        "p95 of %s in %s: %s %.1f ms / %s %.1f ms = %.2f",
                        band.label(),
                        phase,
                        policy.policy(),
                        figures.get().p95(),
                        baseline.policy(),
                        baselineFigures.get().p95(),
                        figures.get().p95() / baselineFigures.get().p95());
            }
        }
    }

    private void line(String format, Object... args) {
        out.println(String.format(Locale.ROOT, format, args));
    }
}
