package org.endivehold.relay.serve;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.TimeoutException;
import org.endivehold.error.ErrorType;
import org.endivehold.relay.limit.HeldBytes;
import org.endivehold.relay.route.Customer;
import org.endivehold.relay.route.RelayService;
import org.endivehold.relay.route.RequestKind;
import org.endivehold.relay.state.Upstream;

/**
 * Serves a request of a plain service: sends it to the upstream with the best load score, and retries it at another
 * upstream if the first did not run it or the request is idempotent. The events of a stream are passed on as they
 * arrive; any other answer is passed on as a whole.
 */
final class PlainRequestHandler implements RequestHandler, UpstreamAttempt.Listener {
    /** Most sends of one request, including those that did not run. */
    private static final int MAX_SENDS = 4;

    private static final int NO_CONTENT_STATUS = 204;
    /** Largest response body that is accepted, in bytes. */
    private static final int MAX_RESPONSE_BYTES = 8 << 20;
    /** Part of the remaining time that an attempt of a safe request may take before it is retried elsewhere. */
    private static final double ATTEMPT_TIMEOUT_SHARE = 0.35;
    /** Shortest time after which a safe request is retried elsewhere, in milliseconds. */
    private static final long MIN_ATTEMPT_TIMEOUT_MILLIS = 200;

    private final RelayContext context;
    private final Exchange exchange;
    private final PlainUpstreamLoads loads;
    private final PlainUpstreamSelector selector;
    private final UpstreamClient client;
    private final UpstreamClient.OutgoingRequest outgoing;
    private final RelayService service;
    private final Handover handover;
    private final boolean counted;
    private final int priorRuns;
    private final CrashGuard guard;
    private final HeldBytes.Share held;
    private final CallerStream stream;
    private final Set<String> tried = new HashSet<>();
    private UpstreamAttempt attempt;
    private Upstream upstream;
    private AnswerFacts responseHead;
    private MultiMap responseHeaders;
    private Buffer responseBody;
    private StreamedAnswer streamedAnswer;
    private double sentAt;
    private int sends;
    /** Upstreams that may have run it, sent by this daemon. */
    private int possibleRuns;

    private boolean countedAsLoad;
    private boolean responseSent;
    private long attemptTimer = -1;

    PlainRequestHandler(
            RelayContext context,
            Exchange exchange,
            PlainUpstreamLoads loads,
            UpstreamClient client,
            UpstreamClient.OutgoingRequest outgoing,
            RelayService service,
            RequestProgress progress,
            Handover handover) {
        this.context = context;
        this.exchange = exchange;
        this.handover = handover;
        this.counted = progress.counted();
        this.sends = progress.sends();
        this.priorRuns = progress.possibleRuns();
        this.loads = loads;
        this.client = client;
        this.outgoing = outgoing;
        this.service = service;
        this.selector = new PlainUpstreamSelector(context, service, loads);
        this.guard = new CrashGuard(context.crashes(), exchange, outgoing);
        this.held = context.bodies().responses().open(this::evicted);
        this.stream = new CallerStream(exchange, progress.lastEventId());
    }

    @Override
    public void start() {
        if (!counted) {
            context.retryShare().recordRequest(service.name(), context.now());
        }
        dispatch();
    }

    private RequestProgress progress() {
        return new RequestProgress(sends, priorRuns + possibleRuns, stream.lastEventId(), true);
    }

    @Override
    public void cancel() {
        endAttempt();
        if (!responseSent) {
            held.close();
        }
        if (attempt != null) {
            attempt.cancel();
        }
    }

    /** All bodies together have become too large, and this response is the largest of them. */
    private void evicted() {
        responseBody = Buffer.buffer();
        if (responseSent) {
            exchange.abandonResponse();
            return;
        }
        exchange.addStep("evicted");
        attempt.cancel();
        broken(new IOException("response body too large beside others"));
    }

    private void dispatch() {
        if (guard.refuses()) {
            giveUp(ErrorType.REQUEST_BARRED, CrashGuard.RETRY_AFTER_MILLIS);
            return;
        }
        if (context.paths().isCutOff(service.name())) {
            giveUp(ErrorType.UPSTREAM_UNREACHABLE);
            return;
        }
        Optional<Upstream> chosen = selector.choose(tried);
        if (chosen.isEmpty()) {
            giveUp(ErrorType.NO_UPSTREAM);
            return;
        }
        upstream = chosen.get();
        context.recordSending(upstream);
        sentAt = context.now();
        tried.add(upstream.id());
        sends++;
        loads.sent(upstream.id());
        countedAsLoad = true;
        exchange.addStep("sent:" + upstream.id());
        responseBody = Buffer.buffer();
        streamedAnswer = null;
        stream.beginAttempt();
        held.empty();
        UpstreamHeaderValues call = new UpstreamHeaderValues(
                upstream.id(),
                Math.max(1, exchange.remainingMillis()),
                exchange.customer().map(Customer::name),
                List.of(),
                stream.lastEventId());
        if (exchange.route().kind() == RequestKind.SAFE
                && priorRuns + possibleRuns + 1 < exchange.route().maxAttempts()) {
            long timeoutMillis =
                    Math.max(MIN_ATTEMPT_TIMEOUT_MILLIS, (long) (exchange.remainingMillis() * ATTEMPT_TIMEOUT_SHARE));
            attemptTimer = context.vertx().setTimer(timeoutMillis, timer -> attemptTimedOut());
        }
        attempt = client.send(outgoing, upstream, call, new GuardedListener(exchange, this));
    }

    private void attemptTimedOut() {
        attemptTimer = -1;
        if (exchange.ended() || attempt.ended() || responseHead != null) {
            return;
        }
        attempt.cancel();
        TimeoutException cause = new TimeoutException("no response head within the attempt timeout");
        if (attempt.isOpened()) {
            broken(cause);
        } else {
            context.paths().recordUnreached(upstream);
            notSent(cause);
        }
    }

    @Override
    public void notSent(Throwable cause) {
        endAttempt();
        exchange.addStep("unreached");
        retryAfterNoRun("unreached", false, ErrorType.UPSTREAM_UNREACHABLE);
    }

    @Override
    public void head(AnswerFacts head, MultiMap headers) {
        responseHead = head;
        responseHeaders = headers;
        head.load().ifPresent(load -> loads.reported(upstream.id(), load, context.now()));
        if (isStream(head, headers)) {
            CallerStream.Head streamHead = new CallerStream.Head(head.status(), headers);
            streamedAnswer = new StreamedAnswer(context, exchange, stream, streamHead, attempt, new StreamOutcome());
        }
    }

    /**
     * Returns whether an answer is passed on event by event, instead of as a whole; one without a body has no events.
     */
    private boolean isStream(AnswerFacts head, MultiMap headers) {
        boolean hasBody =
                head.status() != NO_CONTENT_STATUS && !outgoing.method().equals(HttpMethod.HEAD);
        return exchange.route().kind() == RequestKind.STREAM
                && hasBody
                && head.success()
                && !head.refused()
                && head.isTrusted(exchange.requestHead().attemptId())
                && EventStreams.isEventStream(exchange.route(), headers);
    }

    @Override
    public void data(Buffer bytes) {
        if (streamedAnswer != null) {
            feedStream(streamedAnswer, bytes);
            return;
        }
        responseBody.appendBuffer(bytes);
        boolean fits = held.set(responseBody.length());
        if (fits && responseBody.length() > MAX_RESPONSE_BYTES) {
            attempt.cancel();
            broken(new IOException("response body too large"));
        }
    }

    private void feedStream(StreamedAnswer answer, Buffer bytes) {
        answer.feed(bytes);
        if (!answer.ended()) {
            held.set(answer.bufferedBytes());
        }
    }

    @Override
    public void complete() {
        if (streamedAnswer != null) {
            streamedAnswer.sourceEnded(!ConnectionHeaders.endsWithConnection(responseHeaders));
            return;
        }
        endAttempt();
        double now = context.now();
        AnswerFacts head = responseHead;
        if (head.belongsToOtherAttempt(exchange.requestHead().attemptId())) {
            rejectResponse("foreign");
        } else if (head.refused()) {
            held.empty();
            exchange.addStep("refused:" + head.status());
            context.health().recordFailureAnswer(upstream.id(), now);
            retryAfterNoRun("refused", true, ErrorType.UPSTREAM_REFUSED);
        } else if (!head.isTrusted(exchange.requestHead().attemptId())) {
            rejectResponse("unsigned");
        } else if (EventStreams.isBrokenOff(
                exchange.route(), new CallerStream.Head(head.status(), responseHeaders), responseBody)) {
            rejectResponse(CallerStream.Fault.PARTIAL.label());
        } else if (head.failure() && mayRunAgain()) {
            possibleRuns++;
            context.health().recordFailureAnswer(upstream.id(), now);
            exchange.addStep("failed:" + head.status());
            retryOrElse("failed", true, this::forwardResponse);
        } else {
            recordAnswered();
            forwardResponse();
        }
    }

    private void recordAnswered() {
        context.health().recordAnswer(upstream.id(), context.now());
        if (!ConnectionHeaders.endsWithConnection(responseHeaders)) {
            guard.answered();
        }
    }

    private final class StreamOutcome implements StreamedAnswer.Listener {
        @Override
        public void streamWhole() {
            endAttempt();
            recordAnswered();
            held.close();
        }

        @Override
        public void streamBroken(String cause) {
            attempt.cancel();
            endAttempt();
            rejectResponse(cause);
        }
    }

    private void forwardResponse() {
        responseSent = true;
        exchange.respond(responseHead.status(), responseHeaders, responseBody).onComplete(sent -> held.close());
    }

    private void rejectResponse(String cause) {
        held.empty();
        exchange.addStep(cause);
        retryAfterPossibleRun(cause);
    }

    @Override
    public void broken(Throwable cause) {
        endAttempt();
        held.empty();
        exchange.addStep("broken");
        retryAfterPossibleRun("broken");
    }

    /** Retries or fails the request after an attempt that may have run. */
    private void retryAfterPossibleRun(String cause) {
        context.recordFailure(upstream.id());
        boolean mayRetry = mayRunAgain();
        possibleRuns++;
        CrashGuard.Progress progress = new CrashGuard.Progress(context.now() - sentAt, 0, answeringMillis());
        guard.investigate(upstream, progress, unsuspected -> retryBroken(cause, mayRetry && unsuspected));
    }

    private OptionalDouble answeringMillis() {
        return streamedAnswer == null ? OptionalDouble.empty() : streamedAnswer.answeringMillis();
    }

    private void retryBroken(String cause, boolean mayRetry) {
        if (mayRetry) {
            retryOrElse(cause, true, () -> exchange.fail(502, ErrorType.UPSTREAM_BROKEN, 0));
        } else {
            exchange.fail(502, ErrorType.UPSTREAM_BROKEN, 0);
        }
    }

    private boolean mayRunAgain() {
        return sends < MAX_SENDS && stream.mayRunAgain(priorRuns + possibleRuns);
    }

    /** Retries or refuses the request after an attempt that did not run. */
    private void retryAfterNoRun(String cause, boolean takesBudget, ErrorType type) {
        if (sends >= MAX_SENDS) {
            giveUp(type);
            return;
        }
        retryOrElse(cause, takesBudget, () -> giveUp(type));
    }

    /**
     * Sends the request again if that is possible, or else runs the alternative. A retry takes from the retry budget if
     * the failed attempt reached the upstream.
     */
    private void retryOrElse(String cause, boolean takesBudget, Runnable otherwise) {
        boolean mayRetry = !exchange.ended()
                && selector.choose(tried).isPresent()
                && (!takesBudget
                        || context.retryShare()
                                .tryTake(service.name(), context.daemons().divisor(), context.now()));
        if (!mayRetry) {
            otherwise.run();
            return;
        }
        context.metrics().retried(cause);
        responseHead = null;
        handover.tryForward(progress(), this::dispatch);
    }

    private void giveUp(ErrorType type) {
        giveUp(type, context.shortestPauseMillis(service) + loads.retryAfterMillis(context.random()));
    }

    private void giveUp(ErrorType type, double retryAfterMillis) {
        if (possibleRuns > 0) {
            exchange.fail(502, type, 0);
        } else {
            exchange.refuse(type, retryAfterMillis);
        }
    }

    private void endAttempt() {
        if (attemptTimer >= 0) {
            context.vertx().cancelTimer(attemptTimer);
            attemptTimer = -1;
        }
        if (streamedAnswer != null) {
            streamedAnswer.stop();
        }
        if (countedAsLoad) {
            countedAsLoad = false;
            loads.ended(upstream.id());
        }
    }
}
