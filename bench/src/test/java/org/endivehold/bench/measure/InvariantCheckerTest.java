package org.endivehold.bench.measure;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.List;
import java.util.function.Consumer;
import org.endivehold.bench.caller.CallResult;
import org.endivehold.bench.caller.Outcome;
import org.endivehold.bench.experiment.Experiment;
import org.endivehold.bench.experiment.Experiments;
import org.endivehold.bench.experiment.Mark;
import org.endivehold.bench.experiment.PolicyRun;
import org.endivehold.bench.fleet.FleetPolicy;
import org.endivehold.bench.workload.Arrival;
import org.endivehold.bench.workload.Size;
import org.endivehold.config.Configuration;
import org.endivehold.error.EndiveholdException;
import org.endivehold.standin.log.StandinEvent;
import org.endivehold.standin.log.StandinLog;
import org.endivehold.standin.store.StoreCalls;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class InvariantCheckerTest {
    private static final List<Mark> MARKS =
            List.of(new Mark(Experiments.ZONE_OUT, 0, 1_000), new Mark(Experiments.ZONE_IN, 9_000, 10_000));
    private static final String LEAVING = "quito-centro";
    private static final Arrival PROMPT =
            new Arrival(1, 0, Arrival.Kind.INTERACTIVE, "aviary", 2_000, 20, 5_000, "surge");
    private static final Arrival ONCE = new Arrival(2, 0, Arrival.Kind.ONCE, "payroll", 0, 1, 5_000, "surge");

    /** Events and a caller's outcome, with the invariant that they violate; an empty name if they violate none. */
    @SuppressWarnings("ImmutableEnumChecker")
    private enum Case {
        NOTHING("", Outcome.SERVED, log -> {}),
        COLD_OVERLOAD(
                "overload in cold start",
                Outcome.SERVED,
                log -> log.add(new StandinEvent.Overload(1, "e", true, 5, 3))),
        OVER_CAPACITY(
                "work over capacity", Outcome.SERVED, log -> log.add(new StandinEvent.Overload(1, "e", false, 33, 32))),
        FELL("an upstream fell over", Outcome.SERVED, log -> log.add(new StandinEvent.Restarted(1, "e", 2, true, 4))),
        TURNED_COLD("", Outcome.SERVED, log -> log.add(new StandinEvent.Restarted(1, "e", 2, false, 4))),
        RAN_ONCE("", Outcome.SERVED, log -> ran(log, 1)),
        RAN_TWICE("doubled runs", Outcome.SERVED, log -> ran(log, 2)),
        IN_ZONE_WITHIN_GRACE("", Outcome.SERVED, log -> accepted(log, LEAVING, 5_900, "x")),
        IN_ZONE_AFTER_GRACE(
                "new work in a zone that is out", Outcome.SERVED, log -> accepted(log, LEAVING, 6_100, "x")),
        IN_OTHER_ZONE("", Outcome.SERVED, log -> accepted(log, "quito-sur", 6_100, "x")),
        IN_ZONE_THAT_IS_BACK("", Outcome.SERVED, log -> accepted(log, LEAVING, 10_100, "x")),
        REFUSED_TRULY("", Outcome.REFUSED, log -> {}),
        REFUSED_UNTRULY(
                "refusals that say not run and are untrue",
                Outcome.REFUSED,
                log -> accepted(log, "quito-sur", 1, "work-1")),
        CROSSED(
                "crossed text or caches at an engine",
                Outcome.SERVED,
                log -> log.add(new StandinEvent.Crossed(1, "e", "s"))),
        CUT("cut streams", Outcome.CUT, log -> {}),
        WRONG("crossed or lost text", Outcome.WRONG, log -> {}),
        SILENT("no answer by the deadline", Outcome.SILENT, log -> {}),
        BROKEN("broken connections", Outcome.BROKEN, log -> {});

        final String invariant;
        final Outcome outcome;
        final Consumer<StandinLog> events;

        Case(String invariant, Outcome outcome, Consumer<StandinLog> events) {
            this.invariant = invariant;
            this.outcome = outcome;
            this.events = events;
        }

        private static void ran(StandinLog log, int times) {
            for (int i = 0; i < times; i++) {
                log.add(new StandinEvent.Ran(i, "p", ONCE.key(), "hash", true));
            }
        }

        private static void accepted(StandinLog log, String zone, long at, String work) {
            log.add(new StandinEvent.Accepted(at, "e", zone, "s", "h", work, 1, 32));
        }
    }

    private static List<Violation> check(Case each, long leaked, int unended, double endMillis)
            throws EndiveholdException {
        Configuration configuration = Size.QUITO.configuration(Path.of("..", "examples"));
        Experiment zone = Experiments.of("zone").orElseThrow();
        StandinLog log = new StandinLog();
        each.events.accept(log);
        List<CallResult> results = List.of(
                new CallResult(PROMPT, each.outcome, 0, 10, endMillis, "", 0, "work-1"),
                new CallResult(ONCE, Outcome.SERVED, 0, 10, 20, "", 0, ONCE.key()));
        PolicyRun run =
                new PolicyRun(FleetPolicy.ENDIVEHOLD, results, unended, MARKS, log, leaked, StoreCalls.NONE, 20_000);
        return new InvariantChecker(zone, configuration).check(run);
    }

    @ParameterizedTest
    @EnumSource(Case.class)
    void findsExactlyWhatIsBroken(Case each) throws EndiveholdException {
        List<String> expected = each.invariant.isEmpty() ? List.of() : List.of(each.invariant);
        assertEquals(
                expected,
                check(each, 0, 0, 20).stream().map(Violation::invariant).toList());
    }

    @ParameterizedTest
    @EnumSource(value = Case.class, names = "NOTHING")
    void findsLeaksMissingEndsAndLateAnswers(Case each) throws EndiveholdException {
        assertEquals("memory leaked on engines", check(each, 5, 0, 20).get(0).invariant());
        assertEquals("requests without an end", check(each, 0, 1, 20).get(0).invariant());
        assertEquals(
                "answered after the deadline", check(each, 0, 0, 5_600).get(0).invariant());
    }
}
