package org.endivehold.bench.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import org.endivehold.bench.caller.Balancer;
import org.endivehold.bench.caller.CallerPool;
import org.endivehold.bench.fleet.Fleet;
import org.endivehold.bench.fleet.FleetPlan;
import org.endivehold.bench.fleet.Waiting;
import org.endivehold.bench.workload.PromptText;
import org.endivehold.bench.workload.Size;
import org.endivehold.bench.workload.Workload;
import org.endivehold.error.EndiveholdException;
import org.endivehold.standin.log.StandinLog;
import org.endivehold.standin.store.StoreCalls;

/** Runs one experiment under one policy. */
public final class PolicyRunner {
    private static final long DRAIN_TIMEOUT_MILLIS = 15_000;
    /**
     * Covers the release of orphaned reservations: the dead daemon leaves the member list, its grants expire, and the
     * grace period of a stream (30 s) passes.
     */
    private static final long RELEASE_TIMEOUT_MILLIS = 45_000;

    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long TICK_MILLIS = 100;
    private static final long PROGRESS_MILLIS = 2_000;
    private static final long SETTLE_MILLIS = 1_500;

    private final Experiment experiment;
    private final Size size;
    private final Workload workload;
    private final long seed;
    private final Consumer<String> progress;

    /**
     * Creates a runner.
     *
     * @param experiment the experiment
     * @param size site that provides the routes and API keys
     * @param workload the requests to send
     * @param seed seed of the prompt texts
     * @param progress receives progress lines, at most one per 2 s besides the disturbances
     */
    public PolicyRunner(Experiment experiment, Size size, Workload workload, long seed, Consumer<String> progress) {
        this.experiment = experiment;
        this.size = size;
        this.workload = workload;
        this.seed = seed;
        this.progress = progress;
    }

    /**
     * Starts a fleet, runs the experiment, waits for the remaining requests and stops the fleet.
     *
     * @param plan the fleet to start
     * @return the raw results
     * @throws EndiveholdException if the fleet does not start or a disturbance fails
     */
    public PolicyRun run(FleetPlan plan) throws EndiveholdException {
        Balancer balancer = new Balancer();
        try (Fleet fleet = new Fleet(plan);
                CallerPool callers = new CallerPool(size, balancer, new PromptText(seed))) {
            Waiting.pause(SETTLE_MILLIS);
            balancer.refresh(fleet);
            StoreCalls before = fleet.standins().store().calls();
            callers.start(workload);
            List<Mark> marks = runWorkload(plan, fleet, callers, balancer);
            StoreCalls calls = fleet.standins().store().calls().minus(before);
            drain(fleet, callers, balancer);
            return new PolicyRun(
                    plan.policy(),
                    callers.results(),
                    workload.arrivals().size() - callers.ended(),
                    marks,
                    fleet.standins().log(),
                    leakedTokens(fleet),
                    calls,
                    workload.millis());
        }
    }

    private List<Mark> runWorkload(FleetPlan plan, Fleet fleet, CallerPool callers, Balancer balancer)
            throws EndiveholdException {
        List<Mark> marks = new ArrayList<>();
        int next = 0;
        double nextProgress = PROGRESS_MILLIS;
        while (callers.elapsedMillis() < workload.millis()) {
            if (next < experiment.disturbances().size()
                    && experiment.disturbances().get(next).atMillis() <= callers.elapsedMillis()) {
                Disturbance disturbance = experiment.disturbances().get(next);
                next++;
                disturbance.action().run(fleet);
                marks.add(new Mark(disturbance.label(), callers.elapsedMillis(), StandinLog.now()));
                progress.accept(plan.policy().label() + ": " + disturbance.label());
            }
            balancer.refresh(fleet);
            if (callers.elapsedMillis() >= nextProgress) {
                nextProgress += PROGRESS_MILLIS;
                report(plan, callers);
            }
            Waiting.pause(TICK_MILLIS);
        }
        return marks;
    }

    private void drain(Fleet fleet, CallerPool callers, Balancer balancer) throws EndiveholdException {
        Waiting.until(
                () -> {
                    balancer.refresh(fleet);
                    return callers.ended() >= workload.arrivals().size();
                },
                DRAIN_TIMEOUT_MILLIS);
    }

    private void report(FleetPlan plan, CallerPool callers) {
        progress.accept(String.format(
                Locale.ROOT,
                "%s: %2.0f of %d s, sent %d of %d, ended %d",
                plan.policy().label(),
                callers.elapsedMillis() / 1_000,
                workload.millis() / 1_000,
                callers.sent(),
                workload.arrivals().size(),
                callers.ended()));
    }

    /** Waits until no engine memory is in use; what is still in use at the time-out counts as leaked. */
    private static long leakedTokens(Fleet fleet) throws EndiveholdException {
        long end = System.nanoTime() + RELEASE_TIMEOUT_MILLIS * NANOS_PER_MILLI;
        long used = fleet.standins().usedTokens();
        while (used > 0 && System.nanoTime() < end) {
            Waiting.pause(TICK_MILLIS);
            used = fleet.standins().usedTokens();
        }
        return used;
    }
}
