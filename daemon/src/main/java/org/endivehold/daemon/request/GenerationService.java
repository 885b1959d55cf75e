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

/**
 * Runs generation calls on the engines that this daemon has capacity on. Accepted calls wait in the admission queue
 * until an engine has room; a call whose engine fails is placed on another one.
 */
public final class GenerationService implements Service, GenerationRunner, StatusContributor {
    /** Time between dispatches; entries expire and shares grow without notification. */
    private static final long DISPATCH_PERIOD_MILLIS = 10;

    private static final long LIVENESS_CHECK_PERIOD_MILLIS = 5_000;
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final DaemonContext context;
    private final Map<GenerationRun, QueueState> openRuns = new LinkedHashMap<>();
    /** Runs that left an engine and wait for another one. */
    private final List<GenerationRun> displaced = new ArrayList<>();

    private final List<Long> timers = new ArrayList<>();
    private final GenerationRunListener listener = new RunListener();
    private GenerationResources resources;
    private EngineSelector selector;
    private Admission admission;
    private LongPromptStarter longPrompts;
    private ReattachManager reattachManager;
    private AdmissionQueue<GenerationRun> queue;
    private boolean dispatching;
    private boolean dispatchRequested;
    private Optional<Promise<Void>> drained = Optional.empty();

    /**
     * State of a run in the admission queue.
     *
     * @param entry its queue entry, empty before admission
     * @param dequeued whether it has been taken from the queue to be started
     */
    private record QueueState(Optional<AdmissionEntry<GenerationRun>> entry, boolean dequeued) {}

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
    public Set<String> dependencies() {
        return Set.of(ActiveConfiguration.NAME, CapacityService.NAME, UpstreamDirectory.NAME);
    }

    @Override
    public Future<Void> start(Kernel kernel) {
        try {
            resources = resources(kernel);
            reattachManager = new ReattachManager(resources);
        } catch (EndiveholdException e) {
            return Future.failedFuture(e);
        }
        selector = new EngineSelector(resources);
        queue = new AdmissionQueue<>(context.settings().limits().maxQueued());
        admission = new Admission(resources, selector);
        longPrompts = new LongPromptStarter(resources, selector);
        resources.activeConfiguration().listen(snapshot -> selector.configurationActivated(snapshot.configuration()));
        schedulePeriodic(DISPATCH_PERIOD_MILLIS, this::dispatch);
        schedulePeriodic(LIVENESS_CHECK_PERIOD_MILLIS, () -> List.copyOf(openRuns.keySet())
                .forEach(GenerationRun::checkLiveness));
        schedulePeriodic(CacheEventReader.PERIOD_MILLIS, new CacheEventReader(resources, selector)::readNext);
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
                new StreamIdGenerator(context),
                this::requestDispatch);
    }

    private void schedulePeriodic(long periodMillis, Runnable task) {
        timers.add(context.vertx().setPeriodic(periodMillis, id -> task.run()));
    }

    @Override
    public Future<Void> drain() {
        if (openRuns.isEmpty() && reattachManager.isIdle()) {
            return Future.succeededFuture();
        }
        Promise<Void> promise = Promise.promise();
        drained = Optional.of(promise);
        reattachManager.onIdle(this::checkDrained);
        return promise.future();
    }

    @Override
    public Future<Void> stop() {
        timers.forEach(context.vertx()::cancelTimer);
        timers.clear();
        for (GenerationRun run : List.copyOf(openRuns.keySet())) {
            run.giveUp(ErrorType.SHUTTING_DOWN);
        }
        reattachManager.stop();
        return Future.succeededFuture();
    }

    @Override
    public Runnable submit(GenerationCall call, AnswerSink sink) {
        GenerationRun run = new GenerationRun(call, sink, resources, selector, listener);
        openRuns.put(run, new QueueState(Optional.empty(), false));
        try {
            admission.check(run);
        } catch (EndiveholdException e) {
            run.fail(e, e.type() == ErrorType.PROMPT_TOO_LONG ? 0 : RETRY_AFTER_MILLIS);
            return () -> {};
        }
        selector.arrived(run.requirements());
        AdmissionEntry<GenerationRun> entry = admission.entry(run);
        openRuns.put(run, new QueueState(Optional.of(entry), false));
        queue.offer(entry, admission.limits(call.customer()), resources.now()).ifPresent(this::refuse);
        dispatch();
        return run::cancel;
    }

    private void refuse(Refusal<GenerationRun> refusal) {
        refusal.item().fail(refusal.failure(), refusal.retryAfterMillis());
    }

    @Override
    public Runnable reattach(String token, long offset, AnswerSink sink) {
        return reattachManager.reattach(token, offset, sink);
    }

    @Override
    public String statusName() {
        return NAME;
    }

    @Override
    public Object status() {
        return new Status(resources.placementPolicy().name(), openRuns.size(), queue.size(), displaced.size());
    }

    /**
     * The state shown to operators.
     *
     * @param policy name of the placement policy
     * @param requests requests that have not ended
     * @param queued requests that wait for their first engine
     * @param displaced requests that left an engine and wait for another one
     */
    public record Status(String policy, int requests, int queued, int displaced) {}

    private void requestDispatch() {
        if (!dispatchRequested) {
            dispatchRequested = true;
            context.vertx().runOnContext(done -> dispatch());
        }
    }

    private void dispatch() {
        if (dispatching) {
            return;
        }
        dispatchRequested = false;
        dispatching = true;
        try {
            queue.expire(resources.now()).forEach(this::refuse);
            startDisplaced();
            startQueued();
        } finally {
            dispatching = false;
        }
    }

    private void startDisplaced() {
        for (GenerationRun run : List.copyOf(displaced)) {
            if (resources.now() > run.latestStart()) {
                run.giveUp(ErrorType.DEADLINE_UNREACHABLE);
            } else {
                selector.select(run.requirements()).ifPresent(selected -> {
                    displaced.remove(run);
                    run.startOn(selected, List.of());
                });
            }
        }
    }

    private void startQueued() {
        PlacementRound round = new PlacementRound(selector, longPrompts);
        Optional<AdmissionEntry<GenerationRun>> next = queue.take(round::tryPlace, resources.now());
        while (next.isPresent()) {
            GenerationRun run = next.get().item();
            openRuns.put(run, new QueueState(next, true));
            round.start(run);
            next = queue.take(round::tryPlace, resources.now());
        }
    }

    private void checkDrained() {
        if (openRuns.isEmpty() && reattachManager.isIdle()) {
            drained.ifPresent(Promise::tryComplete);
        }
    }

    private final class RunListener implements GenerationRunListener {
        @Override
        public void ended(GenerationRun run) {
            displaced.remove(run);
            QueueState queueState = openRuns.remove(run);
            if (queueState != null && queueState.dequeued()) {
                queue.ended(run.call().customer());
            } else if (queueState != null) {
                queueState.entry().ifPresent(queue::remove);
            }
            checkDrained();
        }

        @Override
        public void engineNeeded(GenerationRun run) {
            if (run.requirements().isLong()) {
                longPrompts.start(run);
            } else {
                displaced.add(run);
                requestDispatch();
            }
        }

        @Override
        public Optional<String> reattachToken(GenerationRun run, EngineStream stream) {
            return reattachManager.token(run.call(), stream);
        }
    }
}
