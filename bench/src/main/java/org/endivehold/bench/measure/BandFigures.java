package org.endivehold.bench.measure;

import java.util.List;
import org.HdrHistogram.Histogram;
import org.endivehold.bench.caller.CallResult;
import org.endivehold.bench.workload.LengthBand;

/**
 * Time to first token of the interactive prompts of one phase and length band, in milliseconds since each was due.
 *
 * @param phase name of the phase
 * @param band label of the length band
 * @param count number of prompts that got a first token
 * @param p50 median
 * @param p95 95th percentile
 * @param p99 99th percentile
 * @param max maximum
 * @param bareP95 95th percentile of the same prompts on an idle engine
 * @param excessP95 95th percentile of the time that each prompt took in excess of an idle engine
 */
public record BandFigures(
        String phase,
        String band,
        long count,
        double p50,
        double p95,
        double p99,
        double max,
        double bareP95,
        double excessP95) {
    private static final long MAX_MICROS = 600_000_000L;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double MICROS_PER_MILLI = 1_000;

    /**
     * Computes the statistics; times are capped at 600 s.
     *
     * @param phase the phase
     * @param band the band
     * @param results prompts of that phase and band that got a first token
     * @param bare time to first token of an idle engine
     * @return the statistics
     */
    static BandFigures of(String phase, LengthBand band, List<CallResult> results, IdleEngine bare) {
        Histogram total = histogram();
        Histogram idle = histogram();
        Histogram excess = histogram();
        for (CallResult result : results) {
            double idleMillis = bare.firstTokenMillis(result.arrival().promptTokens());
            record(total, result.firstMillis());
            record(idle, idleMillis);
            record(excess, result.firstMillis() - idleMillis);
        }
        return new BandFigures(
                phase,
                band.label(),
                total.getTotalCount(),
                millis(total, 50),
                millis(total, 95),
                millis(total, 99),
                millis(total, 100),
                millis(idle, 95),
                millis(excess, 95));
    }

    private static Histogram histogram() {
        return new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);
    }

    private static void record(Histogram histogram, double millis) {
        long micros = Math.round(Math.max(0, millis) * MICROS_PER_MILLI);
        histogram.recordValue(Math.min(MAX_MICROS, micros));
    }

    private static double millis(Histogram histogram, double percentile) {
        return histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }
}
