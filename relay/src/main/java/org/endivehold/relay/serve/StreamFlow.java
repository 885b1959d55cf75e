package org.endivehold.relay.serve;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.endivehold.error.ErrorType;
import org.endivehold.misc.LogEvent;
import org.endivehold.relay.engine.EngineJob;
import org.endivehold.relay.engine.Placement;
import org.endivehold.relay.engine.PromptNeed;
import org.endivehold.relay.engine.StartRule;
import org.endivehold.relay.route.Customer;
import org.endivehold.relay.route.RelayRoute;
import org.endivehold.relay.route.RelayService;
import org.endivehold.relay.state.Upstream;
import org.jboss.logging.Logger;

/**
 * Serves a generation: waits for room at the engines, has the prompt read by one or several of them, passes on whole
 * events, and resumes a stream that breaks at another engine where the route allows it.
 */
final class StreamFlow implements Flow, UpstreamAttempt.Listener {
    /** Sends of one request, with those that did not run. */
    private static final int MAX_SENDS = 5;
    /** An engine from which another request heard in this time is alive, in milliseconds. */
    private static final double ALIVE_MILLIS = 700;
    /** Time for which an engine that was full gets nothing from this request's daemon, in milliseconds. */
    private static final double FULL_MILLIS = 150;
    /** Pause between looks for a better engine while an engine is silent, in milliseconds. */
    private static final long LOOK_ELSEWHERE_MILLIS = 200;
    /** Part of a silence that known reads have to explain, so that it does not count as a failure of the engine. */
    private static final double EXPLAINED_SHARE = 0.5;

    private static final Logger log = Logger.getLogger(StreamFlow.class);

    private final RelayContext context;
    private final Exchange exchange;
    private final UpstreamClient client;
    private final UpstreamClient.Outgoing outgoing;
    private final RelayService service;
    private final EngineSelection selection;
    private final WaitingRoom waiting;
    private final Set<String> failed = new HashSet<>();
    private UpstreamAttempt attempt;
    private EngineJob job;
    private Placement placement;
    private AnswerFacts facts;
    private MultiMap headers;
    private Buffer refusal = Buffer.buffer();
    private EventSplitter splitter;
    private OptionalLong lastEvent;
    private boolean joining;
    private int sends;
    private int runs;
    private double sentAt;
    private double heardAt;
    private boolean attemptFirst;
    private long silenceTimer = -1;
    private Reservation reservation;
    private final PaceMeter pace = new PaceMeter();

    StreamFlow(
            RelayContext context,
            Exchange exchange,
            UpstreamClient client,
            UpstreamClient.Outgoing outgoing,
            RelayService service,
            WaitingRoom waiting) {
        this.context = context;
        this.exchange = exchange;
        this.client = client;
        this.outgoing = outgoing;
        this.service = service;
        this.selection = new EngineSelection(context, service);
        this.waiting = waiting;
        this.lastEvent = exchange.facts().resumeAfter();
    }

    @Override
    public void start() {
        context.retries().request(service.name(), context.now());
        if (!dispatch()) {
            waitOrRefuse();
        }
    }

    /** Waits for room; refuses at once what waiting cannot help. */
    private void waitOrRefuse() {
        if (selection.hopeless(need())) {
            exchange.note("hopeless:engines=" + selection.engines());
            giveUp(ErrorType.NO_UPSTREAM);
        } else {
            waiting.add(this);
        }
    }

    @Override
    public void cancel() {
        waiting.remove(this);
        endAttempt();
        if (attempt != null) {
            attempt.cancel();
        }
    }

    /** Tells whether waiting further for engines is of no use. */
    boolean waitedEnough() {
        return StartRule.waitedEnough(readMillis(), need());
    }

    /** Returns how much worth the request brings for each millisecond of an engine's time. */
    double worthOfTime() {
        return EngineJob.weight(exchange.facts().promptTokens()) / readMillis();
    }

    private double readMillis() {
        return service.engine().orElseThrow().readMillis(exchange.facts().promptTokens(), 1);
    }

    /** Refuses the request, which has found no room. */
    void refuse() {
        exchange.note("no-room");
        giveUp(ErrorType.NO_UPSTREAM);
    }

    PromptNeed need() {
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

    /** Sends the request if there is room; returns whether it was sent or has ended. */
    boolean dispatch() {
        if (exchange.ended()) {
            return true;
        }
        PromptNeed need = need();
        Optional<Placement> found = selection.choose(need, failed);
        if (found.isEmpty() || !StartRule.starts(found.get(), need)) {
            return false;
        }
        Optional<Upstream> writer =
                context.fleet().upstream(found.get().engines().get(0));
        if (writer.isEmpty()) {
            return false;
        }
        send(found.get(), writer.get(), need);
        return true;
    }

    private void send(Placement found, Upstream writer, PromptNeed need) {
        double now = context.now();
        placement = found;
        facts = null;
        refusal = Buffer.buffer();
        splitter = new EventSplitter(this::event);
        joining = exchange.begun();
        attemptFirst = false;
        sends++;
        sentAt = now;
        heardAt = now;
        for (String id : found.engines()) {
            Optional<Upstream> upstream = context.fleet().upstream(id);
            if (upstream.isPresent() && upstream.get().cold(now)) {
                context.cold().sent(id, now);
            }
        }
        job = context.engines().begin(found, need, context.health().pace(writer.id(), now));
        exchange.note("sent:" + String.join("/", found.engines()) + ":predicted="
                + Math.round(found.firstMillis()) + ":cost=" + Math.round(found.cost() * 100) / 100.0 + ":at="
                + Math.round(exchange.elapsedMillis()));
        if (found.reserves()) {
            reserve(writer);
        } else {
            open(writer);
        }
    }

    private void reserve(Upstream writer) {
        List<Reservation.Part> parts = new ArrayList<>();
        for (int i = 1; i < placement.engines().size(); i++) {
            long tokens = placement.heldTokens().get(i);
            Optional<Upstream> holder =
                    context.fleet().upstream(placement.engines().get(i));
            if (tokens > 0 && holder.isPresent()) {
                parts.add(new Reservation.Part(holder.get(), tokens));
            }
        }
        EngineJob reserving = job;
        String id = "r-" + reserving.id().daemon() + "-" + reserving.id().number();
        reservation = new Reservation(context.vertx(), context.orders(), id, parts);
        reservation.acquire().onComplete(held -> {
            if (exchange.ended() || job == null || !job.id().equals(reserving.id())) {
                return;
            }
            if (held.succeeded()) {
                open(writer);
            } else {
                exchange.note("not-reserved");
                endAttempt();
                again("not-reserved", false, ErrorType.RESERVATION_REFUSED);
            }
        });
    }

    private void open(Upstream writer) {
        List<String> helpers = new ArrayList<>();
        for (String id : placement.engines()) {
            if (!id.equals(writer.id())) {
                context.fleet().upstream(id).ifPresent(helper -> helpers.add(helperAddress(helper)));
            }
        }
        UpstreamCall call = new UpstreamCall(
                writer.id(),
                Math.max(1, exchange.remainingMillis()),
                exchange.customer().map(Customer::name),
                helpers,
                lastEvent);
        attempt = client.send(outgoing, writer, call, this);
        watchSilence();
    }

    private String helperAddress(Upstream helper) {
        String address = EngineSelection.address(helper);
        boolean holds = reservation != null && reservation.holdsAt(helper.id());
        return holds ? address + "/" + reservation.id() : address;
    }

    private void watchSilence() {
        double reads = context.engines().board().pendingReadMillis(job.writer());
        double limit = attemptFirst
                ? SilenceLimit.betweenEvents(need(), reads)
                : SilenceLimit.beforeFirst(need(), placement.firstMillis(), reads);
        double left = heardAt + limit - context.now();
        silenceTimer = context.vertx().setTimer(Math.max(1, (long) left), timer -> {
            silenceTimer = -1;
            boolean alive = context.health().silentMillis(job.writer(), context.now()) < ALIVE_MILLIS;
            if (context.now() - heardAt < limit - 1) {
                watchSilence();
            } else if (alive && !attemptFirst) {
                silenceTimer = context.vertx().setTimer((long) ALIVE_MILLIS, again -> watchSilence());
            } else {
                silent();
            }
        });
    }

    private void silent() {
        if (exchange.ended() || attempt.ended() || !mayResume()) {
            return;
        }
        if (!betterElsewhere()) {
            silenceTimer = context.vertx().setTimer(LOOK_ELSEWHERE_MILLIS, timer -> {
                silenceTimer = -1;
                silent();
            });
            return;
        }
        double silence = context.now() - heardAt;
        double reads = context.engines().board().pendingReadMillis(job.writer());
        exchange.note("silent:" + Math.round(silence));
        attempt.cancel();
        if (reads < EXPLAINED_SHARE * silence) {
            markFailed(job.writer());
        }
        afterRun("silent");
    }

    /** Tells whether another engine would produce the next event before the caller leaves. */
    private boolean betterElsewhere() {
        Set<String> avoided = new HashSet<>(failed);
        avoided.add(job.writer());
        PromptNeed need = need();
        return selection
                .choose(need, avoided)
                .filter(found -> StartRule.starts(found, need))
                .isPresent();
    }

    @Override
    public void notSent(Throwable cause) {
        endAttempt();
        markFailed(placement.engines().get(0));
        exchange.note("unreached");
        again("unreached", false, ErrorType.UPSTREAM_UNREACHABLE);
    }

    @Override
    public void head(AnswerFacts answer, MultiMap answerHeaders) {
        facts = answer;
        headers = answerHeaders;
    }

    @Override
    public void data(Buffer bytes) {
        if (facts.success() && facts.genuine(exchange.facts().attempt())) {
            splitter.feed(bytes);
        } else {
            refusal.appendBuffer(bytes);
        }
    }

    private void event(OptionalLong id, Buffer bytes) {
        if (exchange.ended() || attempt.ended()) {
            return;
        }
        double now = context.now();
        context.health().heard(job.writer(), now);
        if (!attemptFirst) {
            attemptFirst = true;
            context.engines().firstToken(job);
            context.health().answered(job.writer(), now);
            double seen = now - sentAt;
            LogEvent.of("first-event")
                    .with("request", exchange.facts().attempt())
                    .with("engine", job.writer())
                    .with("engines", job.engines().size())
                    .with("prompt", job.promptTokens())
                    .with("predicted_ms", Math.round(placement.firstMillis()))
                    .with("seen_ms", Math.round(seen))
                    .debug(log);
        } else {
            pace.gap(now - heardAt);
            pace.factor(service.engine().orElseThrow().passMillis(1, (double) job.promptTokens()))
                    .ifPresent(factor -> context.health().pace(job.writer(), factor, now));
        }
        heardAt = now;
        if (id.isPresent() && lastEvent.isPresent() && id.getAsLong() <= lastEvent.getAsLong()) {
            return;
        }
        if (joining && id.isPresent() && lastEvent.isPresent() && id.getAsLong() != lastEvent.getAsLong() + 1) {
            exchange.note("gap");
            attempt.cancel();
            afterFailure("gap");
            return;
        }
        joining = false;
        exchange.begin(facts.status(), headers);
        exchange.event(bytes);
        lastEvent = id;
    }

    @Override
    public void complete() {
        AnswerFacts answer = facts;
        if (answer.foreign(exchange.facts().attempt())) {
            endAttempt();
            exchange.note("foreign");
            afterFailure("foreign");
        } else if (answer.refused()) {
            endAttempt();
            refused(answer);
        } else if (!answer.genuine(exchange.facts().attempt())) {
            endAttempt();
            exchange.note("unsigned");
            afterFailure("unsigned");
        } else if (!answer.success()) {
            endAttempt();
            failure(answer);
        } else if (splitter.partial() || !attemptFirst) {
            endAttempt();
            exchange.note("partial");
            afterFailure("partial");
        } else {
            endAttempt();
            exchange.complete();
        }
    }

    private void refused(AnswerFacts answer) {
        String culprit = placement.engines().get(0);
        if (answer.faultAddress().isPresent()) {
            culprit = selection.engineAt(placement, answer.faultAddress().get()).orElse(culprit);
        }
        exchange.note("refused:" + answer.status() + ":" + culprit);
        if (answer.status() == 503 && culprit.equals(placement.engines().get(0))) {
            context.health().eject(culprit, context.now() + FULL_MILLIS, context.now());
        } else {
            context.health().failed(culprit, context.now());
        }
        again("refused", true, ErrorType.UPSTREAM_REFUSED);
    }

    /** The engine ran the request and failed. */
    private void failure(AnswerFacts answer) {
        exchange.note("failed:" + answer.status());
        context.health().answeredWithFailure(job.writer(), context.now());
        if (answer.failure() && mayResume()) {
            afterFailure("failed");
            return;
        }
        if (answer.status() == 503 || answer.status() == 429 || answer.status() == 408 || exchange.begun()) {
            exchange.fail(502, ErrorType.UPSTREAM_BROKEN, 0);
        } else {
            exchange.answer(answer.status(), headers, refusal);
        }
    }

    @Override
    public void broken(Throwable cause) {
        exchange.note("broken");
        afterFailure("broken");
    }

    /** Goes on after an attempt that may have run, at an engine that failed. */
    private void afterFailure(String cause) {
        markFailed(placement.engines().get(0));
        afterRun(cause);
    }

    /** Goes on after an attempt that may have run. */
    private void afterRun(String cause) {
        endAttempt();
        failed.add(placement.engines().get(0));
        boolean repeatable = mayResume();
        runs++;
        if (repeatable) {
            again(cause, true, ErrorType.UPSTREAM_BROKEN);
        } else {
            exchange.fail(502, ErrorType.UPSTREAM_BROKEN, 0);
        }
    }

    private boolean mayResume() {
        return exchange.route().idempotent() && runs + 1 < exchange.route().maxAttempts() && sends < MAX_SENDS;
    }

    private void again(String cause, boolean arrived, ErrorType type) {
        if (exchange.ended()) {
            return;
        }
        boolean allowed = sends < MAX_SENDS
                && (!arrived
                        || context.retries()
                                .take(service.name(), context.daemons().divisor(), context.now()));
        if (!allowed) {
            exchange.note(arrived ? "no-budget" : "no-sends");
            giveUp(type);
            return;
        }
        context.metrics().repeated(cause);
        if (!dispatch()) {
            waitOrRefuse();
        }
    }

    private void giveUp(ErrorType type) {
        if (runs > 0 || exchange.begun()) {
            exchange.fail(502, type, 0);
        } else {
            exchange.refuse(type, waiting.retryAfterMillis(need()));
        }
    }

    private void markFailed(String engine) {
        failed.add(engine);
        context.health().failed(engine, context.now());
        context.engines().tellFailed(engine);
    }

    private void endAttempt() {
        if (silenceTimer >= 0) {
            context.vertx().cancelTimer(silenceTimer);
            silenceTimer = -1;
        }
        if (reservation != null) {
            reservation.end();
            reservation = null;
        }
        if (job != null) {
            EngineJob over = job;
            job = null;
            context.engines().end(over);
        }
    }
}
