package org.endivehold.bench.measure;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.endivehold.bench.caller.CallResult;
import org.endivehold.bench.caller.Outcome;
import org.endivehold.bench.experiment.Mark;
import org.endivehold.bench.experiment.PolicyRun;
import org.endivehold.bench.workload.Arrival;
import org.endivehold.bench.workload.LengthBand;
import org.endivehold.standin.store.StoreCalls;

/**
 * Figures of one policy in an experiment.
 *
 * @param policy name of the policy
 * @param requests number of requests that ended
 * @param outcomes number of requests by outcome
 * @param errors number of requests by outcome and error, for those with an error
 * @param phases interactive requests by phase
 * @param bands time to first token by phase and length band
 * @param senderLagP99 99th percentile of the delay with which the load generator sent, in milliseconds
 * @param storeCalls calls to the key-value service during the workload
 * @param storeWritesPerSecond rate of writes to it
 * @param marks times of the disturbances
 * @param violations invariants that were violated
 */
public record PolicyReport(
        String policy,
        int requests,
        Map<Outcome, Long> outcomes,
        Map<String, Long> errors,
        List<PhaseCount> phases,
        List<BandFigures> bands,
        double senderLagP99,
        StoreCalls storeCalls,
        double storeWritesPerSecond,
        List<Mark> marks,
        List<Violation> violations) {
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double MICROS_PER_MILLI = 1_000;

    /**
     * Counts of the interactive requests of one phase.
     *
     * @param phase name of the phase
     * @param interactive number of interactive requests
     * @param served number of those that got their complete answer
     */
    public record PhaseCount(String phase, long interactive, long served) {
        /**
         * Returns the share that was served.
         *
         * @return between 0 and 1; 1 if there were none
         */
        public double share() {
            return interactive == 0 ? 1 : (double) served / interactive;
        }
    }

    /**
     * Computes the figures of a run.
     *
     * @param run the raw results
     * @param phases names of the phases
     * @param bare time to first token of an idle engine
     * @param violations invariants that were violated
     * @return the report
     */
    public static PolicyReport of(PolicyRun run, List<String> phases, IdleEngine bare, List<Violation> violations) {
        Map<Outcome, Long> outcomes = new EnumMap<>(Outcome.class);
        Map<String, Long> errors = new TreeMap<>();
        Histogram lag = new Histogram(3);
        for (CallResult result : run.results()) {
            outcomes.merge(result.outcome(), 1L, Long::sum);
            if (!result.error().isEmpty()) {
                errors.merge(result.outcome() + " " + result.error(), 1L, Long::sum);
            }
            lag.recordValue(Math.max(0, Math.round(result.sentMillis() * MICROS_PER_MILLI)));
        }
        List<BandFigures> bands = new ArrayList<>();
        List<PhaseCount> counts = new ArrayList<>();
        for (String phase : phases) {
            counts.add(count(run, phase));
            for (LengthBand band : LengthBand.values()) {
                bands.add(BandFigures.of(phase, band, firstTokens(run, phase, band), bare));
            }
        }
        return new PolicyReport(
                run.policy().label(),
                run.results().size(),
                outcomes,
                errors,
                counts,
                bands,
                lag.getValueAtPercentile(99) / MICROS_PER_MILLI,
                run.storeCalls(),
                run.storeCalls().writes() * MILLIS_PER_SECOND / run.millis(),
                run.marks(),
                violations);
    }

    /**
     * Finds the time to first token of a phase and length band.
     *
     * @param phase name of the phase
     * @param band the length band
     * @return the statistics; empty if no such prompt got a first token
     */
    public Optional<BandFigures> band(String phase, LengthBand band) {
        return bands.stream()
                .filter(b -> b.phase().equals(phase) && b.band().equals(band.label()) && b.count() > 0)
                .findFirst();
    }

    /**
     * Finds the counts of a phase.
     *
     * @param phase name of the phase
     * @return the counts; empty if there is no such phase
     */
    public Optional<PhaseCount> phase(String phase) {
        return phases.stream().filter(p -> p.phase().equals(phase)).findFirst();
    }

    private static boolean isInteractive(CallResult result, String phase) {
        return result.arrival().kind() == Arrival.Kind.INTERACTIVE
                && result.arrival().phase().equals(phase);
    }

    private static List<CallResult> firstTokens(PolicyRun run, String phase, LengthBand band) {
        return run.results().stream()
                .filter(r -> isInteractive(r, phase) && r.firstMillis() >= 0)
                .filter(r -> LengthBand.of(r.arrival().promptTokens()) == band)
                .toList();
    }

    private static PhaseCount count(PolicyRun run, String phase) {
        List<CallResult> all =
                run.results().stream().filter(r -> isInteractive(r, phase)).toList();
        long served = all.stream().filter(r -> r.outcome() == Outcome.SERVED).count();
        return new PhaseCount(phase, all.size(), served);
    }
}
