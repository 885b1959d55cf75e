package org.endivehold.bench.measure;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.endivehold.bench.caller.CallResult;
import org.endivehold.bench.caller.Outcome;
import org.endivehold.bench.experiment.Experiment;
import org.endivehold.bench.experiment.Experiments;
import org.endivehold.bench.experiment.Mark;
import org.endivehold.bench.experiment.PolicyRun;
import org.endivehold.bench.workload.Arrival;
import org.endivehold.config.Configuration;
import org.endivehold.standin.log.StandinEvent;

/** Checks the invariants of the system against the log of the stand-ins and the results of the callers. */
public final class InvariantChecker {
    private static final long ZONE_GRACE_MILLIS = 5_000;
    private static final double DEADLINE_GRACE_MILLIS = 500;

    private final Experiment experiment;
    private final Configuration configuration;

    /**
     * Creates a checker.
     *
     * @param experiment the experiment that was run
     * @param configuration its configuration at the start
     */
    public InvariantChecker(Experiment experiment, Configuration configuration) {
        this.experiment = experiment;
        this.configuration = configuration;
    }

    /**
     * Checks all invariants on a run.
     *
     * @param run the raw results
     * @return one entry per violated invariant; empty if all held
     */
    public List<Violation> check(PolicyRun run) {
        List<Violation> violations = new ArrayList<>();
        checkOverload(run, violations);
        checkSingleExecution(run, violations);
        checkLeavingZone(run, violations);
        checkResults(run, violations);
        checkRefusals(run, violations);
        checkEvents(run, StandinEvent.Crossed.class, e -> true, "crossed text or caches at an engine", violations);
        if (run.leakedTokens() > 0) {
            violations.add(new Violation("memory leaked on engines", run.leakedTokens(), "tokens"));
        }
        if (run.log().dropped() > 0) {
            violations.add(new Violation("the log is incomplete", run.log().dropped(), "events dropped"));
        }
        return violations;
    }

    private static void checkOverload(PolicyRun run, List<Violation> violations) {
        checkEvents(
                run, StandinEvent.Overload.class, StandinEvent.Overload::cold, "overload in cold start", violations);
        checkEvents(run, StandinEvent.Overload.class, e -> !e.cold(), "work over capacity", violations);
        checkEvents(
                run, StandinEvent.Restarted.class, StandinEvent.Restarted::fell, "an upstream fell over", violations);
    }

    private static <T extends StandinEvent> void checkEvents(
            PolicyRun run, Class<T> kind, Predicate<T> violates, String name, List<Violation> violations) {
        List<T> cases = run.log().events(kind).stream().filter(violates).toList();
        if (!cases.isEmpty()) {
            violations.add(new Violation(name, cases.size(), cases.get(0).toString()));
        }
    }

    private static void checkSingleExecution(PolicyRun run, List<Violation> violations) {
        Set<String> onceKeys = run.results().stream()
                .filter(r -> r.arrival().kind() == Arrival.Kind.ONCE)
                .map(CallResult::work)
                .collect(Collectors.toSet());
        Set<String> seen = new HashSet<>();
        List<String> repeated = run.log().events(StandinEvent.Ran.class).stream()
                .map(StandinEvent.Ran::key)
                .filter(onceKeys::contains)
                .filter(key -> !seen.add(key))
                .toList();
        if (!repeated.isEmpty()) {
            violations.add(new Violation("doubled runs", repeated.size(), repeated.get(0)));
        }
    }

    private void checkLeavingZone(PolicyRun run, List<Violation> violations) {
        Optional<Mark> out = mark(run, Experiments.ZONE_OUT);
        if (out.isEmpty()) {
            return;
        }
        long from = out.get().logMillis() + ZONE_GRACE_MILLIS;
        long to = mark(run, Experiments.ZONE_IN).map(Mark::logMillis).orElse(Long.MAX_VALUE);
        String zone = Experiments.leavingZone(configuration).value();
        checkEvents(
                run,
                StandinEvent.Accepted.class,
                e -> e.zone().equals(zone) && e.at() > from && e.at() < to,
                "new work in a zone that is out",
                violations);
    }

    private static Optional<Mark> mark(PolicyRun run, String label) {
        return run.marks().stream().filter(m -> m.label().equals(label)).findFirst();
    }

    private void checkResults(PolicyRun run, List<Violation> violations) {
        checkResults(run, r -> r.outcome() == Outcome.CUT, "cut streams", violations);
        checkResults(run, r -> r.outcome() == Outcome.WRONG, "crossed or lost text", violations);
        checkResults(run, r -> r.outcome() == Outcome.SILENT, "no answer by the deadline", violations);
        checkResults(run, InvariantChecker::isLate, "answered after the deadline", violations);
        if (!experiment.killsDaemons()) {
            checkResults(run, r -> r.outcome() == Outcome.BROKEN, "broken connections", violations);
        }
        if (run.unfinished() > 0) {
            violations.add(new Violation("requests without an end", run.unfinished(), "at the end of the run"));
        }
    }

    private static boolean isLate(CallResult result) {
        return result.outcome() != Outcome.SILENT
                && result.endMillis() - result.sentMillis() > result.arrival().deadlineMillis() + DEADLINE_GRACE_MILLIS;
    }

    private static void checkResults(
            PolicyRun run, Predicate<CallResult> violates, String name, List<Violation> violations) {
        List<CallResult> cases = run.results().stream().filter(violates).toList();
        if (!cases.isEmpty()) {
            CallResult first = cases.get(0);
            violations.add(new Violation(name, cases.size(), first.arrival() + " " + first.error()));
        }
    }

    private static void checkRefusals(PolicyRun run, List<Violation> violations) {
        Set<String> accepted = run.log().events(StandinEvent.Accepted.class).stream()
                .map(StandinEvent.Accepted::work)
                .collect(Collectors.toSet());
        checkResults(
                run,
                r -> r.outcome() == Outcome.REFUSED && accepted.contains(r.work()),
                "refusals that say not run and are untrue",
                violations);
    }
}
