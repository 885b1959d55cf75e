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

/** Checks what must always hold, from the stand-ins' own log and from what the callers saw. */
public final class InvariantChecker {
    private static final long ZONE_GRACE_MILLIS = 5_000;
    private static final double LATE_GRACE_MILLIS = 500;

    private final Experiment experiment;
    private final Configuration configuration;

    /**
     * Creates a checker.
     *
     * @param experiment what was done
     * @param configuration what it was done with
     */
    public InvariantChecker(Experiment experiment, Configuration configuration) {
        this.experiment = experiment;
        this.configuration = configuration;
    }

    /**
     * Checks a run.
     *
     * @param run the run
     * @return what did not hold
     */
    public List<Violation> check(PolicyRun run) {
        List<Violation> found = new ArrayList<>();
        overload(run, found);
        doubledRuns(run, found);
        zone(run, found);
        callers(run, found);
        untrueRefusals(run, found);
        events(run, StandinEvent.Crossed.class, e -> true, "crossed text or caches at an engine", found);
        if (run.leakedTokens() > 0) {
            found.add(new Violation("memory leaked on engines", run.leakedTokens(), "tokens"));
        }
        if (run.log().dropped() > 0) {
            found.add(new Violation("the log is incomplete", run.log().dropped(), "events dropped"));
        }
        return found;
    }

    private static void overload(PolicyRun run, List<Violation> found) {
        events(run, StandinEvent.Overload.class, StandinEvent.Overload::cold, "overload in cold start", found);
        events(run, StandinEvent.Overload.class, e -> !e.cold(), "work over capacity", found);
        events(run, StandinEvent.Restarted.class, StandinEvent.Restarted::fell, "an upstream fell over", found);
    }

    private static <T extends StandinEvent> void events(
            PolicyRun run, Class<T> kind, Predicate<T> broken, String name, List<Violation> found) {
        List<T> cases = run.log().events(kind).stream().filter(broken).toList();
        if (!cases.isEmpty()) {
            found.add(new Violation(name, cases.size(), cases.get(0).toString()));
        }
    }

    private static void doubledRuns(PolicyRun run, List<Violation> found) {
        Set<String> once = run.results().stream()
                .filter(r -> r.arrival().kind() == Arrival.Kind.ONCE)
                .map(CallResult::work)
                .collect(Collectors.toSet());
        Set<String> seen = new HashSet<>();
        List<String> doubled = run.log().events(StandinEvent.Ran.class).stream()
                .map(StandinEvent.Ran::key)
                .filter(once::contains)
                .filter(key -> !seen.add(key))
                .toList();
        if (!doubled.isEmpty()) {
            found.add(new Violation("doubled runs", doubled.size(), doubled.get(0)));
        }
    }

    private void zone(PolicyRun run, List<Violation> found) {
        Optional<Mark> out = mark(run, Experiments.ZONE_OUT);
        if (out.isEmpty()) {
            return;
        }
        long from = out.get().logMillis() + ZONE_GRACE_MILLIS;
        long to = mark(run, Experiments.ZONE_IN).map(Mark::logMillis).orElse(Long.MAX_VALUE);
        String zone = Experiments.leavingZone(configuration).value();
        events(
                run,
                StandinEvent.Accepted.class,
                e -> e.zone().equals(zone) && e.at() > from && e.at() < to,
                "new work in a zone that is out",
                found);
    }

    private static Optional<Mark> mark(PolicyRun run, String label) {
        return run.marks().stream().filter(m -> m.label().equals(label)).findFirst();
    }

    private void callers(PolicyRun run, List<Violation> found) {
        callers(run, r -> r.outcome() == Outcome.CUT, "cut streams", found);
        callers(run, r -> r.outcome() == Outcome.WRONG, "crossed or lost text", found);
        callers(run, r -> r.outcome() == Outcome.SILENT, "no answer by the deadline", found);
        callers(run, InvariantChecker::isLate, "answered after the deadline", found);
        if (!experiment.daemonsDie()) {
            callers(run, r -> r.outcome() == Outcome.BROKEN, "broken connections", found);
        }
        if (run.unended() > 0) {
            found.add(new Violation("requests without an end", run.unended(), "at the end of the run"));
        }
    }

    private static boolean isLate(CallResult result) {
        return result.outcome() != Outcome.SILENT
                && result.endMillis() - result.sentMillis() > result.arrival().deadlineMillis() + LATE_GRACE_MILLIS;
    }

    private static void callers(PolicyRun run, Predicate<CallResult> broken, String name, List<Violation> found) {
        List<CallResult> cases = run.results().stream().filter(broken).toList();
        if (!cases.isEmpty()) {
            CallResult first = cases.get(0);
            found.add(new Violation(name, cases.size(), first.arrival() + " " + first.error()));
        }
    }

    private static void untrueRefusals(PolicyRun run, List<Violation> found) {
        Set<String> accepted = run.log().events(StandinEvent.Accepted.class).stream()
                .map(StandinEvent.Accepted::work)
                .collect(Collectors.toSet());
        callers(
                run,
                r -> r.outcome() == Outcome.REFUSED && accepted.contains(r.work()),
                "refusals that say not run and are untrue",
                found);
    }
}
