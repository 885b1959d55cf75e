package org.endivehold.daemon.request;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.endivehold.daemon.DaemonContext;
import org.endivehold.daemon.config.ActiveConfiguration;
import org.endivehold.daemon.kernel.Kernel;
import org.endivehold.daemon.kernel.Service;
import org.endivehold.daemon.kernel.StatusContributor;
import org.endivehold.daemon.upstream.UpstreamDirectory;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.grant.Capacity;
import org.endivehold.misc.StreamId;
import org.endivehold.placement.PlacementPolicies;

/** Runs generation calls over the engines that this daemon has capacity on. */
public final class GenerationService implements Service, GenerationRunner, StatusContributor {
    private static final String CAPACITY = "capacity";
    private static final long PUMP_MILLIS = 10;
    private static final long KEEP_ALIVE_MILLIS = 5_000;
    private static final long RETRY_AFTER_MILLIS = 1_000;
    private static final int RADIX = 36;

    private final DaemonContext context;
    private final Set<GenerationRun> running = new LinkedHashSet<>();
    private final Deque<GenerationRun> waiting = new ArrayDeque<>();
    private final GenerationRun.Listener listener = new RunListener();
    private GenerationResources resources;
    private CandidateFinder finder;
    private long pumpTimer = -1;
    private long keepAliveTimer = -1;
    private long streams;
    private boolean pumping;
    private Promise<Void> drained;

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
        return Set.of(ActiveConfiguration.NAME, CAPACITY, UpstreamDirectory.NAME);
    }

    @Override
    public Future<Void> start(Kernel kernel) {
        try {
            resources = new GenerationResources(
                    context,
                    kernel.find(ActiveConfiguration.NAME, ActiveConfiguration.class),
                    kernel.find(CAPACITY, Capacity.class),
                    kernel.find(UpstreamDirectory.NAME, UpstreamDirectory.class),
                    PlacementPolicies.create(context.settings().placement().policy(), context.random()),
                    new GenerationMetrics(context.meters()));
        } catch (EndiveholdException e) {
            return Future.failedFuture(e);
        }
        finder = new CandidateFinder(resources);
        pumpTimer = context.vertx().setPeriodic(PUMP_MILLIS, id -> pump());
        keepAliveTimer = context.vertx().setPeriodic(KEEP_ALIVE_MILLIS, id -> keepAlive());
        return Future.succeededFuture();
    }

    @Override
    public Future<Void> drain() {
        if (running.isEmpty()) {
            return Future.succeededFuture();
        }
        drained = Promise.promise();
        return drained.future();
    }

    @Override
    public Future<Void> stop() {
        context.vertx().cancelTimer(pumpTimer);
        context.vertx().cancelTimer(keepAliveTimer);
        for (GenerationRun run : List.copyOf(running)) {
            run.fail(new EndiveholdException(ErrorType.SHUTTING_DOWN), RETRY_AFTER_MILLIS);
        }
        return Future.succeededFuture();
    }

    @Override
    public Runnable submit(GenerationCall call, AnswerSink sink) {
        GenerationRun run = new GenerationRun(call, sink, resources, listener);
        running.add(run);
        if (resources.configuration().current().isEmpty()) {
            run.fail(new EndiveholdException(ErrorType.NO_CONFIGURATION), RETRY_AFTER_MILLIS);
        } else if (waiting.size() >= context.settings().limits().maxQueued()) {
            String word = call.route().requestClass().word();
            run.fail(new EndiveholdException(ErrorType.QUEUE_FULL, word), RETRY_AFTER_MILLIS);
        } else {
            waiting.add(run);
            pump();
        }
        return run::cancel;
    }

    @Override
    public Runnable reattach(String token, long offset, AnswerSink sink) {
        sink.fail(new EndiveholdException(ErrorType.STREAM_UNKNOWN, token), 0);
        return () -> {};
    }

    @Override
    public String statusName() {
        return NAME;
    }

    @Override
    public Object status() {
        return new Status(resources.policy().name(), running.size(), waiting.size());
    }

    /**
     * The state shown to operators.
     *
     * @param policy placement policy
     * @param requests requests that have not ended
     * @param waiting requests that wait for capacity
     */
    public record Status(String policy, int requests, int waiting) {}

    private void pump() {
        if (pumping) {
            return;
        }
        pumping = true;
        try {
            while (!waiting.isEmpty() && waiting.peek().tryStart(finder)) {
                waiting.poll();
            }
        } finally {
            pumping = false;
        }
    }

    private void keepAlive() {
        List.copyOf(running).forEach(GenerationRun::keepAlive);
    }

    private final class RunListener implements GenerationRun.Listener {
        @Override
        public void ended(GenerationRun run) {
            running.remove(run);
            waiting.remove(run);
            if (drained != null && running.isEmpty()) {
                drained.tryComplete();
            }
        }

        @Override
        public void released() {
            context.vertx().runOnContext(done -> pump());
        }

        @Override
        public StreamId nextStream() {
            String process = Long.toString(context.incarnation().value(), RADIX);
            String number = Long.toString(++streams, RADIX);
            return new StreamId(context.settings().host() + "-" + process + "-" + number);
        }
    }
}
