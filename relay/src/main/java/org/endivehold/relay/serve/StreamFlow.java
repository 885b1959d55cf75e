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
import org.endivehold.relay.schedule.EngineRequest;
import org.endivehold.relay.schedule.EngineScheduler;

/**
 * Serves a generation: asks the scheduler for engines, passes on whole events, and goes on at other engines where an
 * attempt fails and the route allows it.
 */
final class StreamFlow implements Flow, StreamAttempt.Listener {
    /** Sends of one request, with those that did not run. */
    private static final int MAX_SENDS = 5;
    /** Time for which an engine that was full gets nothing from this request's daemon, in milliseconds. */
    private static final double FULL_MILLIS = 150;
    /** Least time after which a refused caller may come back, in milliseconds. */
    private static final double LEAST_RETRY_AFTER_MILLIS = 400;
    /** Part of a silence that known reads have to explain, so that it does not count as a failure of the engine. */
    private static final double EXPLAINED_SHARE = 0.5;

    private final RelayContext context;
    private final Exchange exchange;
    private final UpstreamClient client;
    private final UpstreamClient.Outgoing outgoing;
    private final RelayService service;
    private final Set<String> failed = new HashSet<>();
    private Optional<JobId> asked = Optional.empty();
    private StreamAttempt attempt;
    private SilenceWatch watch;
    private OptionalLong lastEvent;
    private boolean joining;
    private int sends;
    private int runs;

    StreamFlow(
            RelayContext context,
            Exchange exchange,
            UpstreamClient client,
            UpstreamClient.Outgoing outgoing,
            RelayService service) {
        this.context = context;
        this.exchange = exchange;
        this.client = client;
        this.outgoing = outgoing;
        this.service = service;
        this.lastEvent = exchange.facts().resumeAfter();
    }

    @Override
    public void start() {
        context.retries().request(service.name(), context.now());
        schedule(ErrorType.NO_UPSTREAM);
    }

    @Override
    public void cancel() {
        asked.ifPresent(context.scheduler()::withdraw);
        asked = Optional.empty();
        if (attempt != null) {
            watch.stop();
            attempt.cancel();
        }
    }

    private PromptNeed need() {
        RelayRoute route = exchange.route();
        double gapAim = route.gapTargetMillis() > 0 ? route.gapTargetMillis() : route.targetMillis();
        return new PromptNeed(
                exchange.facts().promptTokens(),
                exchange.facts().outputTokens(),
                exchange.begun() ? gapAim : route.targetMillis(),
                gapAim,
                exchange.waitingMillis(),
                (double) exchange.remainingMillis());
    }

    /** Asks for engines and sends the request to them; refuses it if there are none. */
    private void schedule(ErrorType refusal) {
        ask(failed, true, new EngineScheduler.Listener() {
            @Override
            public void placed(EngineJob job, Placement placement) {
                asked = Optional.empty();
                send(job, placement);
            }

            @Override
            public void refused(double retryAfterMillis) {
                asked = Optional.empty();
                exchange.note("no-room");
                giveUp(refusal, retryAfterMillis);
            }
        });
    }

    private void ask(Set<String> avoided, boolean waits, EngineScheduler.Listener listener) {
        JobId id = context.engines().nextId();
        asked = Optional.of(id);
        Set<String> cold = context.coldAllowed(service);
        context.scheduler().submit(new EngineRequest(id, service.name(), need(), avoided, cold, waits), listener);
    }

    private void send(EngineJob job, Placement placement) {
        sends++;
        joining = exchange.begun();
        attempt = new StreamAttempt(
                context, exchange, client, outgoing, service.engine().orElseThrow(), placement, job, lastEvent, this);
        watch = new SilenceWatch(context, attempt, need(), this::silent);
        attempt.start();
        if (!attempt.ended()) {
            watch.start();
        }
    }

    /** The engine is silent: moves the request if another engine would produce the next event in time. */
    private void silent() {
        if (!mayResume()) {
            return;
        }
        StreamAttempt silent = attempt;
        Set<String> avoided = new HashSet<>(failed);
        avoided.add(silent.job().writer());
        ask(avoided, false, new EngineScheduler.Listener() {
            @Override
            public void placed(EngineJob job, Placement placement) {
                asked = Optional.empty();
                moveFrom(silent, job, placement);
            }

            @Override
            public void refused(double retryAfterMillis) {
                asked = Optional.empty();
                watch.again();
            }
        });
    }

    private void moveFrom(StreamAttempt silent, EngineJob job, Placement placement) {
        double silence = context.now() - silent.heardAt();
        boolean stillSilent = silence > need().gapAimMillis();
        if (!stillSilent || !takeRepeat()) {
            context.engines().end(job);
            watch.again();
            return;
        }
        exchange.note("silent:" + Math.round(silence));
        String writer = silent.job().writer();
        double reads = context.engines().board().pendingReadMillis(writer);
        watch.stop();
        silent.cancel();
        failed.add(writer);
        if (reads < EXPLAINED_SHARE * silence) {
            markFailed(writer);
        }
        runs++;
        context.metrics().repeated("silent");
        send(job, placement);
    }

    @Override
    public void notReserved() {
        watch.stop();
        again("not-reserved", false, ErrorType.RESERVATION_REFUSED);
    }

    @Override
    public void unreached() {
        watch.stop();
        markFailed(attempt.job().writer());
        again("unreached", false, ErrorType.UPSTREAM_UNREACHABLE);
    }

    @Override
    public void event(OptionalLong id, Buffer bytes) {
        if (exchange.ended()) {
            return;
        }
        if (id.isPresent() && lastEvent.isPresent() && id.getAsLong() <= lastEvent.getAsLong()) {
            return;
        }
        if (joining && id.isPresent() && lastEvent.isPresent() && id.getAsLong() != lastEvent.getAsLong() + 1) {
            exchange.note("gap");
            attempt.cancel();
            broken("gap");
            return;
        }
        joining = false;
        exchange.begin(attempt.facts().status(), attempt.headers());
        exchange.event(bytes);
        lastEvent = id;
    }

    @Override
    public void complete() {
        dropQuestion();
        watch.stop();
        exchange.complete();
    }

    @Override
    public void answered(AnswerFacts answer, MultiMap headers, Buffer body) {
        dropQuestion();
        watch.stop();
        if (answer.refused()) {
            refused(answer);
        } else {
            failure(answer, headers, body);
        }
    }

    private void refused(AnswerFacts answer) {
        String culprit = attempt.blamed(answer);
        exchange.note("refused:" + answer.status() + ":" + culprit);
        if (answer.status() == 503 && culprit.equals(attempt.job().writer())) {
            context.health().eject(culprit, context.now() + FULL_MILLIS, context.now());
        } else {
            context.health().failed(culprit, context.now());
        }
        again("refused", true, ErrorType.UPSTREAM_REFUSED);
    }

    /** The engine ran the request and failed. */
    private void failure(AnswerFacts answer, MultiMap headers, Buffer body) {
        exchange.note("failed:" + answer.status());
        context.health().answeredWithFailure(attempt.job().writer(), context.now());
        context.engines().tellSeen(attempt.job().writer(), true, 1);
        if (answer.failure() && mayResume()) {
            broken("failed");
            return;
        }
        if (answer.status() == 503 || answer.status() == 429 || answer.status() == 408 || exchange.begun()) {
            exchange.fail(502, ErrorType.UPSTREAM_BROKEN, 0);
        } else {
            exchange.answer(answer.status(), headers, body);
        }
    }

    /** Goes on after an attempt that may have run, at an engine that failed. */
    @Override
    public void broken(String cause) {
        dropQuestion();
        watch.stop();
        markFailed(attempt.job().writer());
        boolean repeatable = mayResume();
        runs++;
        if (repeatable) {
            again(cause, true, ErrorType.UPSTREAM_BROKEN);
        } else {
            exchange.fail(502, ErrorType.UPSTREAM_BROKEN, 0);
        }
    }

    /** Takes back a question for a better engine: the attempt has ended by itself. */
    private void dropQuestion() {
        asked.ifPresent(context.scheduler()::withdraw);
        asked = Optional.empty();
    }

    private boolean mayResume() {
        return exchange.route().idempotent() && runs + 1 < exchange.route().maxAttempts() && sends < MAX_SENDS;
    }

    private boolean takeRepeat() {
        return context.retries().take(service.name(), context.daemons().divisor(), context.now());
    }

    private void again(String cause, boolean arrived, ErrorType type) {
        if (exchange.ended()) {
            return;
        }
        if (sends >= MAX_SENDS || (arrived && !takeRepeat())) {
            exchange.note(arrived ? "no-budget" : "no-sends");
            giveUp(type, 0);
            return;
        }
        context.metrics().repeated(cause);
        schedule(type);
    }

    private void giveUp(ErrorType type, double retryAfterMillis) {
        if (runs > 0 || exchange.begun()) {
            exchange.fail(502, type, 0);
        } else {
            exchange.refuse(type, Math.max(LEAST_RETRY_AFTER_MILLIS, retryAfterMillis));
        }
    }

    private void markFailed(String engine) {
        failed.add(engine);
        context.health().failed(engine, context.now());
        context.engines().tellFailed(engine);
    }
}
