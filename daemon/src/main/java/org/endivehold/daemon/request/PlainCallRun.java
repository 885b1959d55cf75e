package org.endivehold.daemon.request;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.endivehold.admission.RetryBudget;
import org.endivehold.capacity.Permit;
import org.endivehold.daemon.DaemonContext;
import org.endivehold.daemon.ledger.ClaimOutcome;
import org.endivehold.daemon.ledger.LedgerService;
import org.endivehold.daemon.upstream.UpstreamDirectory;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.error.RunOutcome;
import org.endivehold.misc.UpstreamName;
import org.endivehold.upstream.PlainAnswer;
import org.endivehold.upstream.PlainCall;

/**
 * One call to a plain service, from its permit to its answer.
 *
 * <p>An idempotent call is repeated on another upstream after any failure of an upstream, within the retry budget; each
 * attempt but the last gets half of the time that is left, so that an upstream that hangs does not use up the deadline.
 * A non-idempotent call is claimed in the ledger before its first attempt and repeated only while the run outcome of
 * every attempt is {@code NO}; once an outcome is unknown, this is recorded and the caller is told so.
 */
final class PlainCallRun {
    /** Time that the ledger's record may hold the answer back, in milliseconds. */
    private static final long RECORD_WAIT_MILLIS = 250;

    /** Time for an adapter to report a timeout by itself, in milliseconds. */
    private static final long ADAPTER_GRACE_MILLIS = 250;

    /** Time after which an upstream that did not answer counts as done with the call, in milliseconds. */
    private static final long LINGER_MILLIS = 2_000;

    /** Header by which the service, too, can tell repeated calls. */
    private static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    private final DaemonContext context;
    private final UpstreamDirectory upstreams;
    private final LedgerService ledger;
    private final PermitQueue permits;
    private final RetryBudget budget;
    private final PlainRequest request;
    private final Promise<PlainAnswer> end = Promise.promise();
    private final Set<UpstreamName> tried = new HashSet<>();
    private Optional<ClaimOutcome.Held> claim = Optional.empty();
    private boolean mayHaveRun;
    private int attempts;

    PlainCallRun(
            DaemonContext context,
            UpstreamDirectory upstreams,
            LedgerService ledger,
            PermitQueue permits,
            RetryBudget budget,
            PlainRequest request) {
        this.context = context;
        this.upstreams = upstreams;
        this.ledger = ledger;
        this.permits = permits;
        this.budget = budget;
        this.request = request;
    }

    /** Runs the call; the future fails with what is known about the run. */
    Future<PlainAnswer> start() {
        budget.firstAttempt();
        next();
        return end.future();
    }

    private boolean isIdempotent() {
        return request.route().idempotent();
    }

    private long leftMillis() {
        return request.deadlineAt() - context.ticker().millis();
    }

    private void next() {
        long until = context.ticker().millis() + leftMillis() / 2;
        permits.take(request.route().name(), tried, until)
                .onSuccess(permit -> permitted(permit))
                .onFailure(failure -> noPermit(EndiveholdException.unwrap(failure)));
    }

    /** A key that an earlier call used must not be answered with "not run", so it is looked up before refusing. */
    private void noPermit(EndiveholdException failure) {
        if (isIdempotent() || claim.isPresent()) {
            finish(failure);
            return;
        }
        ledger.peek(request)
                .onSuccess(answer -> answer.ifPresentOrElse(end::complete, () -> finish(failure)))
                .onFailure(end::fail);
    }

    private void permitted(Permit permit) {
        if (isIdempotent() || claim.isPresent()) {
            send(permit);
            return;
        }
        ledger.claim(request).onSuccess(outcome -> claimed(outcome, permit)).onFailure(failure -> {
            permits.release(permit);
            end.fail(failure);
        });
    }

    private void claimed(ClaimOutcome outcome, Permit permit) {
        if (outcome instanceof ClaimOutcome.Answered earlier) {
            permits.release(permit);
            end.complete(earlier.answer());
            return;
        }
        claim = Optional.of((ClaimOutcome.Held) outcome);
        if (permits.mayUse(request.route().name(), permit.upstream())) {
            send(permit);
        } else {
            permits.release(permit);
            next();
        }
    }

    private void send(Permit permit) {
        long left = leftMillis();
        if (left <= 0) {
            permits.release(permit);
            finish(new EndiveholdException(ErrorType.DEADLINE_EXCEEDED));
            return;
        }
        attempts++;
        tried.add(permit.upstream());
        long timeout = isIdempotent() && attempts < maxAttempts() ? Math.max(1, left / 2) : left;
        context.trace().note(request.id(), "sent", "upstream=" + permit.upstream() + " attempt=" + attempts);
        call(permit.upstream(), timeout)
                .onSuccess(answer -> {
                    permits.release(permit);
                    answered(answer);
                })
                .onFailure(failure -> broken(permit, EndiveholdException.unwrap(failure)));
    }

    private Future<PlainAnswer> call(UpstreamName upstream, long timeoutMillis) {
        PlainCall call = request.call();
        Map<String, String> headers = new TreeMap<>(call.headers());
        request.idempotencyKey().ifPresent(key -> headers.put(IDEMPOTENCY_KEY, key));
        PlainCall timed = new PlainCall(call.method(), call.path(), headers, call.body(), timeoutMillis);
        Promise<PlainAnswer> answer = Promise.promise();
        long timer = context.vertx().setTimer(timeoutMillis + ADAPTER_GRACE_MILLIS, fired -> {
            answer.tryFail(
                    new EndiveholdException(RunOutcome.UNKNOWN, ErrorType.UPSTREAM_TIMEOUT, upstream, timeoutMillis));
        });
        try {
            Future.fromCompletionStage(
                            upstreams.plain(upstream).call(timed),
                            context.vertx().getOrCreateContext())
                    .onSuccess(answer::tryComplete)
                    .onFailure(answer::tryFail);
        } catch (EndiveholdException e) {
            answer.tryFail(e);
        }
        return answer.future().onComplete(done -> context.vertx().cancelTimer(timer));
    }

    private void answered(PlainAnswer answer) {
        if (claim.isEmpty()) {
            end.complete(answer);
            return;
        }
        long timer = context.vertx().setTimer(RECORD_WAIT_MILLIS, fired -> end.tryComplete(answer));
        ledger.record(claim.get(), answer).onComplete(done -> {
            context.vertx().cancelTimer(timer);
            end.tryComplete(answer);
        });
    }

    private void broken(Permit permit, EndiveholdException failure) {
        context.trace()
                .note(request.id(), "attempt-failed", "reason=" + failure.type().word());
        if (failure.type() == ErrorType.UPSTREAM_BROKEN || failure.type() == ErrorType.UPSTREAM_UNREACHABLE) {
            permits.suspect(permit.upstream());
        }
        if (failure.run() == RunOutcome.NO) {
            permits.release(permit);
        } else {
            mayHaveRun = true;
            context.vertx().setTimer(LINGER_MILLIS, timer -> permits.release(permit));
        }
        boolean repeatable = isIdempotent() || failure.run() == RunOutcome.NO;
        if (!repeatable) {
            finish(failure);
        } else if (attempts >= maxAttempts() || !budget.tryRetry()) {
            finish(new EndiveholdException(ErrorType.RETRIES_EXHAUSTED, attempts).causedBy(failure));
        } else {
            next();
        }
    }

    private int maxAttempts() {
        return context.settings().retry().maxAttempts();
    }

    /** Ends the call without an answer, and settles its claim by whether any attempt may have run. */
    private void finish(EndiveholdException failure) {
        if (mayHaveRun) {
            claim.ifPresent(ledger::recordUnknown);
            end.fail(outcomeUnknown(failure));
        } else {
            claim.ifPresent(ledger::release);
            end.fail(failure);
        }
    }

    private EndiveholdException outcomeUnknown(EndiveholdException failure) {
        ErrorType type = leftMillis() <= 0 ? ErrorType.DEADLINE_EXCEEDED : failure.type();
        if (type == failure.type() && failure.run() != RunOutcome.NO) {
            return failure;
        }
        return type == ErrorType.DEADLINE_EXCEEDED
                ? new EndiveholdException(RunOutcome.UNKNOWN, type).causedBy(failure)
                : new EndiveholdException(RunOutcome.UNKNOWN, ErrorType.RETRIES_EXHAUSTED, attempts).causedBy(failure);
    }
}
