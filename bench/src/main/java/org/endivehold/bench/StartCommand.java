package org.endivehold.bench;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.endivehold.bench.measure.ReportFiles;
import org.endivehold.bench.start.RunLine;
import org.endivehold.bench.start.StartChart;
import org.endivehold.bench.start.StartReport;
import org.endivehold.bench.start.StartSample;
import org.endivehold.bench.start.Starter;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;

/** Measures the start of the packaged daemon, and writes {@code start.json} and {@code start.png}. */
@Command(name = "start", description = "Measure the packaged daemon from process start to its first response")
public final class StartCommand extends BenchCommand {
    @Option(
            name = {"--runs"},
            description = "Number of starts")
    private int runs = 20;

    @Option(
            name = {"--routes"},
            description = "Number of routes in the configuration")
    private int routes = 249;

    @Option(
            name = {"--system"},
            description = "File for the platform, whose build command has been run and whose run line is measured")
    private String system = "deploy/system.toml";

    @Option(
            name = {"--jvm-options"},
            description = "Further options of the JVM, separated by spaces")
    private String jvmOptions = "";

    @Option(
            name = {"--out"},
            description = "Output directory for the JSON report and the chart")
    private String out = "bench-out";

    @Override
    protected int execute() throws EndiveholdException {
        if (runs < 1 || routes < 1) {
            throw new EndiveholdException(ErrorType.BAD_REQUEST, "--runs and --routes are at least 1");
        }
        Path directory = createDirectory();
        RunLine command = RunLine.read(Path.of(system)).with(jvmOptions);
        try (Starter starter = new Starter(command, routes)) {
            List<StartSample> samples = new ArrayList<>();
            for (int i = 0; i < runs; i++) {
                samples.add(starter.sample());
            }
            double load = ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage();
            List<Long> classes = starter.classes(directory.resolve("classes.log"));
            StartReport report = StartReport.of(command, routes, load, samples, classes);
            report.print(System.out);
            ReportFiles.writeJson(directory.resolve("start.json"), report);
            StartChart.write(directory.resolve("start.png"), samples);
        }
        return 0;
    }

    private Path createDirectory() throws EndiveholdException {
        try {
            return Files.createDirectories(Path.of(out).toAbsolutePath());
        } catch (IOException e) {
            throw new EndiveholdException(ErrorType.INTERNAL, "cannot create " + out).causedBy(e);
        }
    }
}
