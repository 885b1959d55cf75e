package org.endivehold.bench.start;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/**
 * The figures of a series of starts.
 *
 * @param command the command that was started
 * @param runs number of starts
 * @param routes number of routes in the configuration
 * @param processors processors of the machine
 * @param load load average of the machine after the last start; above the number of processors, times are upper bounds
 * @param figures the figures
 * @param loadedClasses classes that one more start loaded
 * @param unarchivedClasses those of them that did not come from the archive
 */
public record StartReport(
        String command,
        int runs,
        int routes,
        int processors,
        double load,
        List<Figure> figures,
        long loadedClasses,
        long unarchivedClasses) {
    private static final double MEDIAN = 0.5;
    private static final double P95 = 0.95;

    /** Distribution of one figure over the starts. */
    public record Figure(String name, double min, double median, double p95) {
        /** Returns the distribution of a figure; percentiles are nearest ranks. */
        static Figure of(String name, List<StartSample> samples, ToDoubleFunction<StartSample> value) {
            double[] sorted = samples.stream().mapToDouble(value).sorted().toArray();
            return new Figure(name, sorted[0], percentile(sorted, MEDIAN), percentile(sorted, P95));
        }

        private static double percentile(double[] sorted, double share) {
            return sorted[Math.max(0, (int) Math.ceil(share * sorted.length) - 1)];
        }
    }

    /**
     * Returns the report of some starts on this machine.
     *
     * @param command the command that was started
     * @param routes number of routes in the configuration
     * @param load load average of the machine
     * @param samples the starts
     * @param classes number of loaded classes, and of those that did not come from the archive
     */
    public static StartReport of(
            RunLine command, int routes, double load, List<StartSample> samples, List<Long> classes) {
        return new StartReport(
                String.join(" ", command.words()),
                samples.size(),
                routes,
                Runtime.getRuntime().availableProcessors(),
                load,
                figures(samples),
                classes.get(0),
                classes.get(1));
    }

    private static List<Figure> figures(List<StartSample> samples) {
        return List.of(
                Figure.of("cpu_ms until the ports are open", samples, s -> s.portsOpen()
                        .cpuMillis()),
                Figure.of(
                        "cpu_ms until configured", samples, s -> s.configured().cpuMillis()),
                Figure.of("cpu_ms until the first response", samples, s -> s.answered()
                        .cpuMillis()),
                Figure.of("wall_ms until the ports are open", samples, s -> s.portsOpen()
                        .wallMillis()),
                Figure.of(
                        "wall_ms until configured", samples, s -> s.configured().wallMillis()),
                Figure.of("wall_ms until the first response", samples, s -> s.answered()
                        .wallMillis()),
                Figure.of("peak resident MB", samples, StartSample::peakMegabytes));
    }

    /** Prints the figures as a table. */
    public void print(PrintStream out) {
        out.printf(Locale.ROOT, "%-34s %8s %8s %8s%n", "", "min", "median", "p95");
        for (Figure figure : figures) {
            out.printf(
                    Locale.ROOT,
                    "%-34s %8.1f %8.1f %8.1f%n",
                    figure.name(),
                    figure.min(),
                    figure.median(),
                    figure.p95());
        }
        out.printf(
                Locale.ROOT,
                "runs=%d routes=%d classes=%d unarchived=%d processors=%d load=%.1f%n",
                runs,
                routes,
                loadedClasses,
                unarchivedClasses,
                processors,
                load);
    }
}
