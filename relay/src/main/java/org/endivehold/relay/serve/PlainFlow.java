package org.endivehold.relay.serve;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeoutException;
import org.endivehold.error.ErrorType;
import org.endivehold.relay.route.Customer;
import org.endivehold.relay.route.RelayService;
import org.endivehold.relay.route.RequestKind;
import org.endivehold.relay.state.Upstream;

/**
 * Serves a request of a plain service: sends it to the upstream with the fewest requests, and again to another one
 * where the first did not run it or the request is idempotent.
 */
final class PlainFlow implements Flow, UpstreamAttempt.Listener {
    /** Sends of one request, with those that did not run. */
    private static final int MAX_SENDS = 4;
    /** Largest answer that is taken, in bytes. */
    private static final int MAX_ANSWER_BYTES = 8 << 20;
    /** Part of the remaining time after which an idempotent request is tried elsewhere. */
    private static final double PATIENCE_SHARE = 0.35;
    /** Shortest time after which an idempotent request is tried elsewhere, in milliseconds. */
    private static final long LEAST_PATIENCE_MILLIS = 200;

    private final RelayContext context;
    private final Exchange exchange;
    private final PlainLoads loads;
    private final UpstreamClient client;
    private final UpstreamClient.Outgoing outgoing;
    private final RelayService service;
    private final Set<String> tried = new HashSet<>();
    private UpstreamAttempt attempt;
    private Upstream upstream;
    private AnswerFacts facts;
    private MultiMap headers;
    private Buffer body;
    private int sends;
    private int runs;
    private boolean held;
    private long patienceTimer = -1;

    PlainFlow(
            RelayContext context,
            Exchange exchange,
            PlainLoads loads,
            UpstreamClient client,
            UpstreamClient.Outgoing outgoing,
            RelayService service) {
        this.context = context;
        this.exchange = exchange;
        this.loads = loads;
        this.client = client;
        this.outgoing = outgoing;
        this.service = service;
    }

    @Override
    public void start() {
        context.retries().request(service.name(), context.now());
        dispatch();
    }

    @Override
    public void cancel() {
        release();
        if (attempt != null) {
            attempt.cancel();
        }
    }

    private void dispatch() {
        Optional<Upstream> chosen = choose();
        if (chosen.isEmpty()) {
            giveUp(ErrorType.NO_UPSTREAM);
            return;
        }
        upstream = chosen.get();
        double now = context.now();
        if (upstream.cold(now)) {
            context.cold().sent(upstream.id(), now);
        }
        tried.add(upstream.id());
        sends++;
        loads.sent(upstream.id());
        held = true;
        exchange.note("sent:" + upstream.id());
        body = Buffer.buffer();
        UpstreamCall call = new UpstreamCall(
                upstream.id(),
                Math.max(1, exchange.remainingMillis()),
                exchange.customer().map(Customer::name),
                List.of(),
                exchange.facts().resumeAfter());
        if (exchange.route().kind() == RequestKind.SAFE
                && runs + 1 < exchange.route().maxAttempts()) {
            long patience = Math.max(LEAST_PATIENCE_MILLIS, (long) (exchange.remainingMillis() * PATIENCE_SHARE));
            patienceTimer = context.vertx().setTimer(patience, timer -> impatient());
        }
        attempt = client.send(outgoing, upstream, call, this);
    }

    private Optional<Upstream> choose() {
        double now = context.now();
        List<Upstream> usable = new ArrayList<>();
        List<Upstream> ejected = new ArrayList<>();
        for (Upstream candidate : context.fleet().upstreams(service.name())) {
            if (tried.contains(candidate.id()) || (candidate.cold(now) && !context.coldAllows(service, candidate))) {
                continue;
            }
            (context.health().ejected(candidate.id(), now) ? ejected : usable).add(candidate);
        }
        List<Upstream> pool = usable.isEmpty() ? ejected : usable;
        return pool.stream()
                .min(Comparator.comparingDouble(u -> loads.score(u, context.health(), context.random(), now)));
    }

    private void impatient() {
        patienceTimer = -1;
        if (exchange.ended() || attempt.ended() || facts != null) {
            return;
        }
        attempt.cancel();
        broken(new TimeoutException("no answer yet"));
    }

    @Override
    public void notSent(Throwable cause) {
        release();
        context.health().failed(upstream.id(), context.now());
        exchange.note("unreached");
        again("unreached", false, ErrorType.UPSTREAM_UNREACHABLE);
    }

    @Override
    public void head(AnswerFacts answer, MultiMap answerHeaders) {
        facts = answer;
        headers = answerHeaders;
        answer.load().ifPresent(load -> loads.reported(upstream.id(), load, context.now()));
    }

    @Override
    public void data(Buffer bytes) {
        body.appendBuffer(bytes);
        if (body.length() > MAX_ANSWER_BYTES) {
            attempt.cancel();
            broken(new IOException("answer too long"));
        }
    }

    @Override
    public void complete() {
        release();
        double now = context.now();
        AnswerFacts answer = facts;
        if (answer.foreign(exchange.facts().attempt())) {
            brokenAnswer("foreign");
        } else if (answer.refused()) {
            exchange.note("refused:" + answer.status());
            context.health().answeredWithFailure(upstream.id(), now);
            again("refused", true, ErrorType.UPSTREAM_REFUSED);
        } else if (!answer.genuine(exchange.facts().attempt())) {
            brokenAnswer("unsigned");
        } else if (answer.failure() && mayRepeat()) {
            runs++;
            context.health().answeredWithFailure(upstream.id(), now);
            exchange.note("failed:" + answer.status());
            repeat("failed", true, this::deliver);
        } else {
            context.health().answered(upstream.id(), now);
            deliver();
        }
    }

    private void deliver() {
        int status = facts.status();
        boolean promise = status == 429 || status == 503 || status == 408;
        if (promise) {
            exchange.fail(502, ErrorType.UPSTREAM_BROKEN, 0);
        } else {
            exchange.answer(status, headers, body);
        }
    }

    private void brokenAnswer(String word) {
        exchange.note(word);
        afterRun(word);
    }

    @Override
    public void broken(Throwable cause) {
        release();
        exchange.note("broken");
        afterRun("broken");
    }

    /** Goes on after an attempt that may have run. */
    private void afterRun(String cause) {
        context.health().failed(upstream.id(), context.now());
        boolean repeatable = mayRepeat();
        runs++;
        if (!repeatable) {
            exchange.fail(502, ErrorType.UPSTREAM_BROKEN, 0);
            return;
        }
        repeat(cause, true, () -> exchange.fail(502, ErrorType.UPSTREAM_BROKEN, 0));
    }

    private boolean mayRepeat() {
        return exchange.route().idempotent() && runs + 1 < exchange.route().maxAttempts() && sends < MAX_SENDS;
    }

    /** Goes on after an attempt that did not run. */
    private void again(String cause, boolean arrived, ErrorType type) {
        if (sends >= MAX_SENDS) {
            giveUp(type);
            return;
        }
        repeat(cause, arrived, () -> giveUp(type));
    }

    private void repeat(String cause, boolean arrived, Runnable otherwise) {
        boolean taken = !exchange.ended()
                && choose().isPresent()
                && (!arrived
                        || context.retries()
                                .take(service.name(), context.daemons().divisor(), context.now()));
        if (!taken) {
            otherwise.run();
            return;
        }
        context.metrics().repeated(cause);
        facts = null;
        dispatch();
    }

    private void giveUp(ErrorType type) {
        if (runs > 0) {
            exchange.fail(502, type, 0);
        } else {
            exchange.refuse(type, loads.retryAfterMillis(context.random()));
        }
    }

    private void release() {
        if (patienceTimer >= 0) {
            context.vertx().cancelTimer(patienceTimer);
            patienceTimer = -1;
        }
        if (held) {
            held = false;
            loads.ended(upstream.id());
        }
    }
}
