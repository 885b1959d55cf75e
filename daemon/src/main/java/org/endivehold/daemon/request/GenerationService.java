package org.endivehold.daemon.request;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.endivehold.admission.AdmissionEntry;
import org.endivehold.admission.AdmissionQueue;
import org.endivehold.admission.Refusal;
import org.endivehold.admission.ServiceTimeEstimator;
import org.endivehold.capacity.Capacity;
import org.endivehold.daemon.DaemonContext;
import org.endivehold.daemon.capacity.CapacityService;
import org.endivehold.daemon.config.ActiveConfiguration;
import org.endivehold.daemon.kernel.Kernel;
import org.endivehold.daemon.kernel.Service;
import org.endivehold.daemon.kernel.StatusContributor;
import org.endivehold.daemon.upstream.UpstreamDirectory;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.placement.PlacementPolicies;
import org.endivehold.stream.RetryBudget;

/** Runs generation calls over the engines that this daemon has capacity on. */
public final class GenerationService implements Service, GenerationRunner, StatusContributor {
    private static final long PUMP_MILLIS = 10;
    private static final long TICK_MILLIS = 5_000;
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final DaemonContext context;
    private final Map<GenerationRun, Waiting> running = new LinkedHashMap<>();
    private final List<GenerationRun> displaced = new ArrayList<>();
    private final List<Long> timers = new ArrayList<>();
    private final GenerationRunListener listener = new RunListener();
    private GenerationResources resources;
    private EngineSelector selector;
    private Admission admission;
    private LongPromptStarter longPrompts;
    private Reattachment reattachment;
    private AdmissionQueue<GenerationRun> queue;
    private boolean pumping;
    private boolean pumpRequested;
    private Optional<Promise<Void>> drained = Optional.empty();

    /**
     * Where a run stands with the queue.
     *
     * @param entry its entry
     * @param taken whether the queue has let it go
     */
    private record Waiting(Optional<AdmissionEntry<GenerationRun>> entry, boolean taken) {}

    /**
     * Creates the service.
     *
     * @param context the daemon's context
     */
    public GenerationService(DaemonContext context) {
        this.context = context;
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public Set<String> needs() {
        return Set.of(ActiveConfiguration.NAME, CapacityService.NAME, UpstreamDirectory.NAME);
    }

    @Override
    public Future<Void> start(Kernel kernel) {
        try {
            resources = resources(kernel);
            reattachment = new Reattachment(resources);
        } catch (EndiveholdException e) {
            return Future.failedFuture(e);
        }
        selector = new EngineSelector(resources);
        queue = new AdmissionQueue<>(context.settings().limits().maxQueued());
        admission = new Admission(resources, selector);
        longPrompts = new LongPromptStarter(resources, selector);
        resources.configuration().listen(snapshot -> selector.configured(snapshot.configuration()));
        every(PUMP_MILLIS, this::pump);
        every(TICK_MILLIS, () -> List.copyOf(running.keySet()).forEach(GenerationRun::tick));
        every(CacheEventReader.PERIOD_MILLIS, new CacheEventReader(resources, selector)::readNext);
        return Future.succeededFuture();
    }

    private GenerationResources resources(Kernel kernel) throws EndiveholdException {
        return new GenerationResources(
                context,
                kernel.find(ActiveConfiguration.NAME, ActiveConfiguration.class),
                kernel.find(CapacityService.NAME, Capacity.class),
                kernel.find(UpstreamDirectory.NAME, UpstreamDirectory.class),
                PlacementPolicies.create(context.settings().placement().policy(), context.random()),
                new GenerationMetrics(context.meters()),
                new RetryBudget(context.settings().retry().budgetRatio()),
                new ServiceTimeEstimator(),
                new StreamNames(context),
                this::requestPump);
    }

    private void every(long millis, Runnable step) {
        timers.add(context.vertx().setPeriodic(millis, id -> step.run()));
    }

    @Override
    public Future<Void> drain() {
        if (running.isEmpty() && reattachment.isIdle()) {
            return Future.succeededFuture();
        }
        Promise<Void> promise = Promise.promise();
        drained = Optional.of(promise);
        reattachment.onIdle(this::checkDrained);
        return promise.future();
    }

    @Override
    public Future<Void> stop() {
        timers.forEach(context.vertx()::cancelTimer);
        timers.clear();
        for (GenerationRun run : List.copyOf(running.keySet())) {
            run.giveUp(ErrorType.SHUTTING_DOWN);
        }
        reattachment.stop();
        return Future.succeededFuture();
    }

    @Override
    public Runnable submit(GenerationCall call, AnswerSink sink) {
        GenerationRun run = new GenerationRun(call, sink, resources, selector, listener);
        running.put(run, new Waiting(Optional.empty(), false));
        try {
            admission.check(run);
        } catch (EndiveholdException e) {
            run.fail(e, e.type() == ErrorType.PROMPT_TOO_LONG ? 0 : RETRY_AFTER_MILLIS);
            return () -> {};
        }
        selector.arrived(run.need());
        AdmissionEntry<GenerationRun> entry = admission.entry(run);
        running.put(run, new Waiting(Optional.of(entry), false));
        queue.offer(entry, admission.limits(call.customer()), resources.now()).ifPresent(this::refuse);
        pump();
        return run::cancel;
    }

    private void refuse(Refusal<GenerationRun> refusal) {
        refusal.item().fail(refusal.failure(), refusal.retryAfterMillis());
    }

    @Override
    public Runnable reattach(String token, long offset, AnswerSink sink) {
        return reattachment.reattach(token, offset, sink);
    }

    @Override
    public String statusName() {
        return NAME;
    }

    @Override
    public Object status() {
        return new Status(resources.policy().name(), running.size(), queue.size(), displaced.size());
    }

    /**
     * The state shown to operators.
     *
     * @param policy placement policy
     * @param requests requests that have not ended
     * @param queued requests that wait for their first engine
     * @param displaced requests that wait for another engine
     */
    public record Status(String policy, int requests, int queued, int displaced) {}

    private void requestPump() {
        if (!pumpRequested) {
            pumpRequested = true;
            context.vertx().runOnContext(done -> pump());
        }
    }

    private void pump() {
        if (pumping) {
            return;
        }
        pumpRequested = false;
        pumping = true;
        try {
            queue.expire(resources.now()).forEach(this::refuse);
            startDisplaced();
            startQueued();
        } finally {
            pumping = false;
        }
    }

    private void startDisplaced() {
        for (GenerationRun run : List.copyOf(displaced)) {
            if (resources.now() > run.latestStart()) {
                run.giveUp(ErrorType.DEADLINE_UNREACHABLE);
            } else {
                selector.select(run.need()).ifPresent(selected -> {
                    displaced.remove(run);
                    run.begin(selected, List.of());
                });
            }
        }
    }

    private void startQueued() {
        PlacementRound round = new PlacementRound(selector, longPrompts);
        Optional<AdmissionEntry<GenerationRun>> next = queue.take(round::tryPlace, resources.now());
        while (next.isPresent()) {
            GenerationRun run = next.get().item();
            running.put(run, new Waiting(next, true));
            round.start(run);
            next = queue.take(round::tryPlace, resources.now());
        }
    }

    private void checkDrained() {
        if (running.isEmpty() && reattachment.isIdle()) {
            drained.ifPresent(Promise::tryComplete);
        }
    }

    private final class RunListener implements GenerationRunListener {
        @Override
        public void ended(GenerationRun run) {
            displaced.remove(run);
            Waiting waiting = running.remove(run);
            if (waiting != null && waiting.taken()) {
                queue.ended(run.call().customer());
            } else if (waiting != null) {
                waiting.entry().ifPresent(queue::remove);
            }
            checkDrained();
        }

        @Override
        public void replace(GenerationRun run) {
            if (run.need().isLong()) {
                longPrompts.start(run);
            } else {
                displaced.add(run);
                requestPump();
            }
        }

        @Override
        public Optional<String> reattachToken(GenerationRun run, EngineStream stream) {
            return reattachment.token(run.call(), stream);
        }
    }
}
