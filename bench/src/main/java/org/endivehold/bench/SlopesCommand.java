package org.endivehold.bench;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.lang.management.ManagementFactory;
import java.nio.file.Path;
import java.util.List;
import org.endivehold.bench.measure.ReportFiles;
import org.endivehold.bench.slope.Slope;
import org.endivehold.bench.slope.SlopeReport;
import org.endivehold.bench.slope.Slopes;
import org.endivehold.bench.workload.Size;
import org.endivehold.error.EndiveholdException;

/** Measures how the cost of each part grows with the size of the system, and writes {@code slopes.json}. */
@Command(name = "slopes", description = "Measure how costs grow with upstreams, daemons and configuration objects")
public final class SlopesCommand extends BenchCommand {
    @Option(
            name = {"--out"},
            description = "Output directory for the JSON report")
    private String out = "bench-out";

    @Option(
            name = {"--examples"},
            description = "Directory with the example configurations")
    private String examples = "examples";

    @Override
    protected int execute() throws EndiveholdException {
        List<Slope> slopes = new Slopes(Size.QUITO.configuration(Path.of(examples)), System.out::println).measure();
        double load = ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage();
        SlopeReport report = new SlopeReport(Runtime.getRuntime().availableProcessors(), load, slopes);
        ReportFiles.writeJson(Path.of(out).resolve("slopes.json"), report);
        return 0;
    }
}
