package org.endivehold.relay.serve;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.endivehold.error.ErrorType;
import org.endivehold.relay.engine.EngineJob;
import org.endivehold.relay.engine.JobId;
import org.endivehold.relay.engine.Placement;
import org.endivehold.relay.engine.PromptNeed;
import org.endivehold.relay.route.RelayRoute;
import org.endivehold.relay.route.RelayService;
import org.endivehold.relay.route.TrafficClass;
import org.endivehold.relay.schedule.EngineRequest;
import org.endivehold.relay.schedule.EngineScheduler;
import org.endivehold.relay.schedule.WaitReason;
import org.endivehold.relay.share.EngineCost;
import org.endivehold.relay.state.Upstream;

/**
 * Serves a generation request: asks the scheduler for engines, passes on complete events, and retries or resumes at
 * other engines when an attempt fails and the route allows it.
 */
final class StreamRequestHandler implements RequestHandler, StreamAttempt.Listener {
    /** Most sends of one request, including those that did not run. */
    private static final int MAX_SENDS = 5;
    /** Time for which this daemon sends nothing to an engine that refused a request as full, in milliseconds. */
    private static final double FULL_ENGINE_EJECTION_MILLIS = 150;
    /** Shortest retry-after of a refused request, in milliseconds. */
    private static final double MIN_RETRY_AFTER_MILLIS = 400;
    /** Part of a silence that pending reads must account for, so that it does not count as a failure of the engine. */
    private static final double MIN_EXPLAINED_SHARE = 0.5;

    private final RelayContext context;
    private final Exchange exchange;
    private final UpstreamClient client;
    private final UpstreamClient.OutgoingRequest outgoing;
    private final RelayService service;
    private final Handover handover;
    private final boolean counted;
    private final int priorRuns;
    private final CallerStream stream;
    private final CrashGuard guard;
    private final TrafficClass traffic;
    private final Set<String> excludedEngines = new HashSet<>();
    private Optional<JobId> pendingPlacement = Optional.empty();
    private StreamAttempt attempt;
    private SilenceWatch watch;
    private int sends;
    /** Upstreams that may have run it, sent by this daemon. */
    private int possibleRuns;

    StreamRequestHandler(
            RelayContext context,
            Exchange exchange,
            UpstreamClient client,
            UpstreamClient.OutgoingRequest outgoing,
            RelayService service,
            RequestProgress progress,
            Handover handover) {
        this.context = context;
        this.handover = handover;
        this.counted = progress.counted();
        this.sends = progress.sends();
        this.priorRuns = progress.possibleRuns();
        this.exchange = exchange;
        this.stream = new CallerStream(exchange, progress.lastEventId());
        this.client = client;
        this.outgoing = outgoing;
        this.service = service;
        this.guard = new CrashGuard(context.crashes(), exchange, outgoing);
        this.traffic = context.trafficClass(service, exchange);
    }

    @Override
    public void start() {
        if (!counted) {
            context.retryShare().recordRequest(service.name(), context.now());
            if (!traffic.equals(TrafficClass.DEFAULT)) {
                context.metrics().shareRequested(traffic.customer(), engineMillis());
            }
        }
        schedule(ErrorType.NO_UPSTREAM);
    }

    private RequestProgress progress() {
        return new RequestProgress(sends, priorRuns + possibleRuns, stream.lastEventId(), true);
    }

    @Override
    public void cancel() {
        pendingPlacement.ifPresent(context.scheduler()::withdraw);
        pendingPlacement = Optional.empty();
        if (attempt != null) {
            watch.stop();
            attempt.cancel();
        }
    }

    /** Returns the engine time that the request is predicted to need, in milliseconds. */
    private double engineMillis() {
        return service.engine()
                .map(profile -> EngineCost.of(need(), profile).engineMillis())
                .orElse(0.0);
    }

    private PromptNeed need() {
        RelayRoute route = exchange.route();
        double gapTarget = route.gapTargetMillis() > 0 ? route.gapTargetMillis() : route.targetMillis();
        return new PromptNeed(
                exchange.requestHead().promptTokens(),
                exchange.requestHead().outputTokens(),
                exchange.responseBegun() ? gapTarget : route.targetMillis(),
                gapTarget,
                exchange.waitingMillis(),
                (double) exchange.remainingMillis(),
                traffic);
    }

    /** Asks the scheduler for engines and sends the request to them, or refuses the request if there are none. */
    private void schedule(ErrorType refusal) {
        if (refuseBarred()) {
            return;
        }
        if (context.paths().isCutOff(service.name())) {
            giveUp(ErrorType.UPSTREAM_UNREACHABLE, 0);
            return;
        }
        double pauseMillis = context.shortestPauseMillis(service);
        if (pauseMillis > 0) {
            exchange.addStep("paused:" + Math.round(pauseMillis));
            giveUp(refusal, pauseMillis + context.random().nextInt((int) MIN_RETRY_AFTER_MILLIS));
            return;
        }
        WaitRecord wait = new WaitRecord(context, exchange);
        requestPlacement(excludedEngines, true, new EngineScheduler.Listener() {
            @Override
            public void explained(WaitReason reason) {
                wait.explained(reason);
            }

            @Override
            public void placed(EngineJob job, Placement placement) {
                pendingPlacement = Optional.empty();
                wait.ended();
                if (refuseBarred()) {
                    context.engineWork().end(job);
                    return;
                }
                Set<String> barred = barredEngines(placement);
                if (barred.isEmpty()) {
                    send(job, placement);
                    return;
                }
                exchange.addStep("barred:" + String.join("/", barred));
                excludedEngines.addAll(barred);
                context.engineWork().end(job);
                schedule(refusal);
            }

            @Override
            public void refused(double retryAfterMillis) {
                pendingPlacement = Optional.empty();
                wait.ended();
                context.metrics().notPlaced(wait.label());
                exchange.addStep("no-room");
                giveUp(refusal, retryAfterMillis);
            }
        });
    }

    /** Refuses the request if requests like it crash upstreams; returns whether it did. */
    private boolean refuseBarred() {
        boolean refused = guard.refuses();
        if (refused) {
            giveUp(ErrorType.REQUEST_BARRED, CrashGuard.RETRY_AFTER_MILLIS);
        }
        return refused;
    }

    /** Returns the chosen engines that may not get new work: the decider may know less, or the choice took long. */
    private Set<String> barredEngines(Placement placement) {
        Set<String> barred = new HashSet<>();
        for (String id : placement.engines()) {
            context.fleet().upstream(id).filter(context::isBarred).ifPresent(engine -> barred.add(id));
        }
        return barred;
    }

    private void requestPlacement(Set<String> excluded, boolean mayQueue, EngineScheduler.Listener listener) {
        Set<String> avoided = new HashSet<>(excluded);
        avoided.addAll(context.pausedUpstreams(service));
        avoided.addAll(context.paths().avoidedUpstreams(service.name()));
        JobId id = context.engineWork().nextId();
        pendingPlacement = Optional.of(id);
        Set<String> coldWithCapacity = context.coldUpstreamsWithCapacity(service);
        context.scheduler()
                .submit(new EngineRequest(id, service.name(), need(), avoided, coldWithCapacity, mayQueue), listener);
    }

    private void send(EngineJob job, Placement placement) {
        sends++;
        if (!traffic.equals(TrafficClass.DEFAULT)) {
            context.metrics().shareReceived(traffic.customer(), engineMillis());
        }
        stream.beginAttempt();
        attempt = new StreamAttempt(
                context,
                exchange,
                client,
                outgoing,
                service.engine().orElseThrow(),
                placement,
                job,
                stream,
                guard,
                this);
        watch = new SilenceWatch(context, attempt, need(), this::attemptSilent);
        attempt.start();
        if (!attempt.ended()) {
            watch.start();
        }
    }

    /** Handles a silent engine: moves the request if another engine would produce the next event in time. */
    private void attemptSilent() {
        if (!mayResume() || guard.isBarred()) {
            return;
        }
        StreamAttempt silent = attempt;
        if (context.paths().isCutOff(service.name())) {
            leaveSilent(silent);
            retry("silent", true, ErrorType.UPSTREAM_UNREACHABLE);
            return;
        }
        Set<String> avoided = new HashSet<>(excludedEngines);
        avoided.add(silent.job().decodeEngine());
        requestPlacement(avoided, false, new EngineScheduler.Listener() {
            @Override
            public void placed(EngineJob job, Placement placement) {
                pendingPlacement = Optional.empty();
                if (barredEngines(placement).isEmpty()) {
                    moveFrom(silent, job, placement);
                } else {
                    context.engineWork().end(job);
                    watch.checkLater();
                }
            }

            @Override
            public void refused(double retryAfterMillis) {
                pendingPlacement = Optional.empty();
                watch.checkLater();
            }
        });
    }

    private void moveFrom(StreamAttempt silent, EngineJob job, Placement placement) {
        double silenceMillis = context.now() - silent.lastEventAt();
        boolean stillSilent = silenceMillis > need().gapTargetMillis();
        if (!stillSilent || !takeRetry()) {
            context.engineWork().end(job);
            watch.checkLater();
            return;
        }
        String engine = silent.job().decodeEngine();
        double prefillMillis = context.engineWork().tracker().pendingPrefillMillis(engine);
        leaveSilent(silent);
        if (prefillMillis < MIN_EXPLAINED_SHARE * silenceMillis) {
            markFailed(engine);
        }
        context.metrics().retried("silent");
        send(job, placement);
    }

    private void leaveSilent(StreamAttempt silent) {
        exchange.addStep("silent:" + Math.round(context.now() - silent.lastEventAt()));
        watch.stop();
        silent.cancel();
        excludedEngines.add(silent.job().decodeEngine());
        possibleRuns++;
    }

    @Override
    public void notReserved() {
        watch.stop();
        retry("not-reserved", false, ErrorType.RESERVATION_REFUSED);
    }

    @Override
    public void unreached() {
        watch.stop();
        String engine = attempt.job().decodeEngine();
        excludedEngines.add(engine);
        context.paths().whenSettled(() -> reportUnreached(engine));
        retry("unreached", false, ErrorType.UPSTREAM_UNREACHABLE);
    }

    /** Tells the other daemons of an engine that was not reached, unless this daemon's own paths are at fault. */
    private void reportUnreached(String engine) {
        if (context.paths().areOpen()) {
            context.engineWork().reportFailure(engine);
        }
    }

    @Override
    public void event(OptionalLong id, Buffer bytes) {
        if (exchange.ended()) {
            return;
        }
        stream.event(id, bytes, answerHead()).ifPresent(fault -> {
            exchange.addStep(fault.label());
            attempt.cancel();
            broken(fault.label());
        });
    }

    @Override
    public void complete(Buffer rest) {
        withdrawPlacementRequest();
        watch.stop();
        stream.complete(answerHead(), rest);
    }

    private CallerStream.Head answerHead() {
        return new CallerStream.Head(attempt.responseHead().status(), attempt.responseHeaders());
    }

    @Override
    public void errorResponse(AnswerFacts head, MultiMap headers, Buffer body) {
        withdrawPlacementRequest();
        watch.stop();
        if (head.refused()) {
            retryRefused(head);
        } else {
            handleFailure(head, headers, body);
        }
    }

    private void retryRefused(AnswerFacts head) {
        String faultyEngine = attempt.faultyEngine(head);
        exchange.addStep("refused:" + head.status() + ":" + faultyEngine);
        if (head.status() == 503 && faultyEngine.equals(attempt.job().decodeEngine())) {
            context.health().eject(faultyEngine, context.now() + FULL_ENGINE_EJECTION_MILLIS, context.now());
        } else {
            context.health().recordFailure(faultyEngine, context.now());
        }
        retry("refused", true, ErrorType.UPSTREAM_REFUSED);
    }

    /** Handles the response of an engine that ran the request and failed. */
    private void handleFailure(AnswerFacts head, MultiMap headers, Buffer body) {
        exchange.addStep("failed:" + head.status());
        context.health().recordFailureAnswer(attempt.job().decodeEngine(), context.now());
        context.engineWork().reportHealth(attempt.job().decodeEngine(), true, 1);
        if (head.failure() && mayResume()) {
            broken("failed");
            return;
        }
        exchange.respond(head.status(), headers, body);
    }

    /** Retries or fails the request after an attempt that may have run, at an engine that failed. */
    @Override
    public void broken(String cause) {
        withdrawPlacementRequest();
        watch.stop();
        StreamAttempt broken = attempt;
        markFailed(broken.job().decodeEngine());
        boolean mayRetry = mayResume();
        possibleRuns++;
        Optional<Upstream> engine = context.fleet().upstream(broken.job().decodeEngine());
        if (engine.isEmpty()) {
            retryBroken(cause, mayRetry);
            return;
        }
        guard.investigate(engine.get(), broken.progress(), unsuspected -> retryBroken(cause, mayRetry && unsuspected));
    }

    private void retryBroken(String cause, boolean mayRetry) {
        if (mayRetry) {
            retry(cause, true, ErrorType.UPSTREAM_BROKEN);
        } else {
            exchange.fail(502, ErrorType.UPSTREAM_BROKEN, 0);
        }
    }

    /** Withdraws the search for a better engine, as the attempt has ended by itself. */
    private void withdrawPlacementRequest() {
        pendingPlacement.ifPresent(context.scheduler()::withdraw);
        pendingPlacement = Optional.empty();
    }

    private boolean mayResume() {
        return sends < MAX_SENDS && stream.mayRunAgain(priorRuns + possibleRuns);
    }

    private boolean takeRetry() {
        return context.retryShare().tryTake(service.name(), context.daemons().divisor(), context.now());
    }

    /** Asks for engines again; this takes from the retry budget if the failed attempt reached its engine. */
    private void retry(String cause, boolean takesBudget, ErrorType type) {
        if (exchange.ended()) {
            return;
        }
        if (sends >= MAX_SENDS) {
            exchange.addStep("no-sends");
            giveUp(type, 0);
            return;
        }
        if (takesBudget && !takeRetry()) {
            exchange.addStep("no-budget");
            giveUp(type, 0);
            return;
        }
        context.metrics().retried(cause);
        handover.tryForward(progress(), () -> schedule(type));
    }

    private void giveUp(ErrorType type, double retryAfterMillis) {
        if (possibleRuns > 0 || exchange.responseBegun()) {
            exchange.fail(502, type, 0);
        } else {
            exchange.refuse(type, Math.max(MIN_RETRY_AFTER_MILLIS, retryAfterMillis));
        }
    }

    private void markFailed(String engine) {
        excludedEngines.add(engine);
        context.recordFailure(engine);
        if (context.paths().areOpen()) {
            context.engineWork().reportFailure(engine);
        }
    }
}
