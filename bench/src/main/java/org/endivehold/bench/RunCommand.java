package org.endivehold.bench;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.Examples;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.endivehold.bench.experiment.Experiment;
import org.endivehold.bench.experiment.Experiments;
import org.endivehold.bench.experiment.PolicyRun;
import org.endivehold.bench.experiment.PolicyRunner;
import org.endivehold.bench.fleet.FleetPlan;
import org.endivehold.bench.fleet.FleetPolicy;
import org.endivehold.bench.measure.ExperimentReport;
import org.endivehold.bench.measure.IdleEngine;
import org.endivehold.bench.measure.InvariantChecker;
import org.endivehold.bench.measure.PolicyReport;
import org.endivehold.bench.measure.ReportFiles;
import org.endivehold.bench.measure.TextReport;
import org.endivehold.bench.workload.Phase;
import org.endivehold.bench.workload.Size;
import org.endivehold.bench.workload.Workload;
import org.endivehold.config.Configuration;
import org.endivehold.config.Upstream;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.standin.engine.EngineParameters;

/**
 * Runs one experiment under one or more policies with the same workload, and writes the report. Exits with 1 if the
 * first policy violates an invariant, and with 4 if the load generator itself was too slow.
 */
@Command(name = "run", description = "Run an experiment: thin, lengths, blocking, zone, cold, crash or store-outage")
@Examples(
        examples = {"endivehold-bench run lengths --size quito --policy endivehold,least-outstanding --out out"},
        descriptions = {"Compares the default policy with a baseline"})
public final class RunCommand extends BenchCommand {
    private static final int EXIT_INVARIANT_VIOLATED = 1;
    private static final int EXIT_BOTTLENECK = 4;
    private static final double MAX_SENDER_LAG_MILLIS = 100;

    @Arguments(title = "EXPERIMENT", description = "Name of the experiment")
    private String experimentName = "thin";

    @Option(
            name = {"--size"},
            description = "Example site: quito or fondo")
    private String sizeName = "quito";

    @Option(
            name = {"--policy"},
            description = "Policies, separated by commas; the first is checked, the others are baselines: endivehold,"
                    + " round-robin, least-outstanding, unlimited, equal-share")
    private String policyNames = "endivehold,least-outstanding,round-robin";

    @Option(
            name = {"--out"},
            description = "Output directory for the JSON report and the chart")
    private String out = "bench-out";

    @Option(
            name = {"--seed"},
            description = "Seed of the workload")
    private long seed = 1;

    @Option(
            name = {"--speed"},
            description = "Speed-up factor for the engines, from 1 to 10")
    private double speed = 10;

    @Option(
            name = {"--examples"},
            description = "Directory with the example configurations")
    private String examples = "examples";

    private final PrintStream print = System.out;

    @Override
    protected int execute() throws EndiveholdException {
        Experiment experiment =
                Experiments.of(experimentName).orElseThrow(() -> usage("no experiment is named " + experimentName));
        Size size = Size.of(sizeName).orElseThrow(() -> usage("no size is named " + sizeName));
        Configuration configuration = size.configuration(Path.of(examples));
        Workload workload = Workload.draw(size, configuration, speed, seed, experiment.phases());
        warmUp(size, configuration);
        List<PolicyReport> reports = new ArrayList<>();
        for (FleetPolicy policy : policies()) {
            reports.add(run(experiment, size, configuration, workload, policy));
        }
        return finish(report(experiment, size, configuration, reports));
    }

    private PolicyReport run(
            Experiment experiment, Size size, Configuration configuration, Workload workload, FleetPolicy policy)
            throws EndiveholdException {
        PolicyRun run = runner(experiment, size, workload).run(plan(size, configuration, policy));
        List<String> phases = experiment.phases().stream().map(Phase::name).toList();
        return PolicyReport.of(
                run, phases, idleEngine(configuration), new InvariantChecker(experiment, configuration).check(run));
    }

    private void warmUp(Size size, Configuration configuration) throws EndiveholdException {
        Experiment experiment = Experiments.warmUp();
        Workload workload = Workload.draw(size, configuration, speed, seed, experiment.phases());
        runner(experiment, size, workload).run(plan(size, configuration, FleetPolicy.LEAST_OUTSTANDING));
    }

    private PolicyRunner runner(Experiment experiment, Size size, Workload workload) {
        return new PolicyRunner(experiment, size, workload, seed, print::println);
    }

    private FleetPlan plan(Size size, Configuration configuration, FleetPolicy policy) {
        return FleetPlan.builder(configuration)
                .policy(policy)
                .daemons(size.daemons())
                .speed(speed)
                .seed(seed)
                .build();
    }

    private IdleEngine idleEngine(Configuration configuration) {
        Upstream engine = engines(configuration).get(0);
        EngineParameters parameters = EngineParameters.builder(engine.name().value(), "any", "any")
                .prefill((double) engine.prefillTokensPerSecond())
                .speed(speed)
                .build();
        return parameters::bareFirstTokenMillis;
    }

    private static List<Upstream> engines(Configuration configuration) {
        return configuration.upstreams().values().stream()
                .filter(u -> u.kind() == Upstream.Kind.ENGINE)
                .toList();
    }

    private ExperimentReport report(
            Experiment experiment, Size size, Configuration configuration, List<PolicyReport> reports) {
        return new ExperimentReport(
                experiment.name(),
                size.label(),
                seed,
                speed,
                size.daemons(),
                engines(configuration).size(),
                ExperimentReport.targets(reports.get(0), speed),
                reports,
                Runtime.getRuntime().availableProcessors(),
                ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage());
    }

    private int finish(ExperimentReport report) throws EndiveholdException {
        Path directory = Path.of(out);
        String name = report.experiment() + "-" + report.size();
        ReportFiles.writeJson(directory.resolve(name + ".json"), report);
        ReportFiles.writeChart(directory.resolve(name + ".png"), report);
        boolean held = new TextReport(print).print(report);
        double lag = report.policies().stream()
                .mapToDouble(PolicyReport::senderLagP99)
                .max()
                .orElse(0);
        if (lag > MAX_SENDER_LAG_MILLIS) {
            print.printf("the load generator is the bottleneck: p99 of its send lag is %.0f ms%n", lag);
            return EXIT_BOTTLENECK;
        }
        return held ? 0 : EXIT_INVARIANT_VIOLATED;
    }

    private List<FleetPolicy> policies() throws EndiveholdException {
        List<FleetPolicy> policies = new ArrayList<>();
        for (String name : List.of(policyNames.split(",", -1))) {
            policies.add(FleetPolicy.of(name.strip()).orElseThrow(() -> usage("no policy is named " + name)));
        }
        return policies;
    }

    private static EndiveholdException usage(String message) {
        return new EndiveholdException(ErrorType.BAD_REQUEST, message);
    }
}
