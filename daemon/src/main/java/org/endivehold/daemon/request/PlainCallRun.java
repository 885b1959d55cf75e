package org.endivehold.daemon.request;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.endivehold.admission.CallRetryBudget;
import org.endivehold.capacity.Permit;
import org.endivehold.daemon.DaemonContext;
import org.endivehold.daemon.ledger.ClaimOutcome;
import org.endivehold.daemon.ledger.LedgerService;
import org.endivehold.daemon.upstream.InvalidAnswers;
import org.endivehold.daemon.upstream.UpstreamDirectory;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.error.RunOutcome;
import org.endivehold.misc.UpstreamName;
import org.endivehold.upstream.PlainAnswer;
import org.endivehold.upstream.PlainCall;

/**
 * One call to a plain service, from the request for a permit to the answer.
 *
 * <p>An idempotent call is repeated on another upstream after any failure of an upstream, within the retry budget. Each
 * attempt but the last may use half of the remaining time, so that an upstream that hangs does not use up the deadline.
 * A non-idempotent call is claimed in the ledger before its first attempt, and repeated only while the run outcome of
 * every attempt is {@code NO}; an unknown outcome is recorded in the ledger and reported to the caller.
 */
final class PlainCallRun {
    /** Maximum time that the answer waits for its record in the ledger, in milliseconds. */
    private static final long MAX_RECORD_WAIT_MILLIS = 250;

    /** Time that an adapter gets to report a timeout itself before the call is failed here, in milliseconds. */
    private static final long ADAPTER_GRACE_MILLIS = 250;

    /** Time for which a permit is held when its call may still be running at the upstream, in milliseconds. */
    private static final long UNANSWERED_CALL_HOLD_MILLIS = 2_000;

    /** Header by which the plain service, too, can recognize a repeated call. */
    private static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";

    private final DaemonContext context;
    private final UpstreamDirectory upstreams;
    private final LedgerService ledger;
    private final PermitQueue permits;
    private final CallRetryBudget budget;
    private final PlainRequest request;
    private final Promise<PlainAnswer> result = Promise.promise();
    private final Set<UpstreamName> tried = new HashSet<>();
    private Optional<ClaimOutcome.Held> claim = Optional.empty();
    private boolean mayHaveRun;
    private int attempts;

    PlainCallRun(
            DaemonContext context,
            UpstreamDirectory upstreams,
            LedgerService ledger,
            PermitQueue permits,
            CallRetryBudget budget,
            PlainRequest request) {
        this.context = context;
        this.upstreams = upstreams;
        this.ledger = ledger;
        this.permits = permits;
        this.budget = budget;
        this.request = request;
    }

    /** Runs the call; the future fails with the run outcome known so far. */
    Future<PlainAnswer> start() {
        budget.firstAttempt();
        requestPermit();
        return result.future();
    }

    private boolean isIdempotent() {
        return request.route().idempotent();
    }

    private long remainingMillis() {
        return request.deadlineAt() - context.ticker().millis();
    }

    private void requestPermit() {
        long waitUntil = context.ticker().millis() + remainingMillis() / 2;
        permits.take(request.route().name(), tried, waitUntil)
                .onSuccess(permit -> permitGranted(permit))
                .onFailure(failure -> permitDenied(EndiveholdException.unwrap(failure)));
    }

    /**
     * Refuses the call; first looks up its key, since a key that an earlier call used must not be answered "not run".
     */
    private void permitDenied(EndiveholdException failure) {
        if (isIdempotent() || claim.isPresent()) {
            finish(failure);
            return;
        }
        ledger.peek(request)
                .onSuccess(answer -> answer.ifPresentOrElse(result::complete, () -> finish(failure)))
                .onFailure(result::fail);
    }

    private void permitGranted(Permit permit) {
        if (isIdempotent() || claim.isPresent()) {
            send(permit);
            return;
        }
        ledger.claim(request).onSuccess(outcome -> claimed(outcome, permit)).onFailure(failure -> {
            permits.release(permit);
            result.fail(failure);
        });
    }

    private void claimed(ClaimOutcome outcome, Permit permit) {
        if (outcome instanceof ClaimOutcome.Answered earlier) {
            permits.release(permit);
            result.complete(earlier.answer());
            return;
        }
        claim = Optional.of((ClaimOutcome.Held) outcome);
        if (permits.mayUse(request.route().name(), permit.upstream())) {
            send(permit);
        } else {
            permits.release(permit);
            requestPermit();
        }
    }

    private void send(Permit permit) {
        long remaining = remainingMillis();
        if (remaining <= 0) {
            permits.release(permit);
            finish(new EndiveholdException(ErrorType.DEADLINE_EXCEEDED));
            return;
        }
        attempts++;
        tried.add(permit.upstream());
        long timeout = isIdempotent() && attempts < maxAttempts() ? Math.max(1, remaining / 2) : remaining;
        context.trace().note(request.id(), "sent", "upstream=" + permit.upstream() + " attempt=" + attempts);
        call(permit.upstream(), timeout)
                .onSuccess(answer -> {
                    permits.release(permit);
                    answered(answer);
                })
                .onFailure(failure -> attemptFailed(permit, EndiveholdException.unwrap(failure)));
    }

    private Future<PlainAnswer> call(UpstreamName upstream, long timeoutMillis) {
        PlainCall call = request.call();
        Map<String, String> headers = new TreeMap<>(call.headers());
        request.idempotencyKey().ifPresent(key -> headers.put(IDEMPOTENCY_KEY_HEADER, key));
        PlainCall timedCall = new PlainCall(call.method(), call.path(), headers, call.body(), timeoutMillis);
        Promise<PlainAnswer> answer = Promise.promise();
        long timer = context.vertx().setTimer(timeoutMillis + ADAPTER_GRACE_MILLIS, fired -> {
            answer.tryFail(
                    new EndiveholdException(RunOutcome.UNKNOWN, ErrorType.UPSTREAM_TIMEOUT, upstream, timeoutMillis));
        });
        try {
            Future.fromCompletionStage(
                            upstreams.plainService(upstream).call(timedCall),
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
            result.complete(answer);
            return;
        }
        long timer = context.vertx().setTimer(MAX_RECORD_WAIT_MILLIS, fired -> result.tryComplete(answer));
        ledger.record(claim.get(), answer).onComplete(done -> {
            context.vertx().cancelTimer(timer);
            result.tryComplete(answer);
        });
    }

    private void attemptFailed(Permit permit, EndiveholdException failure) {
        InvalidAnswers.report(context, request.id(), permit.upstream(), failure);
        context.trace()
                .note(request.id(), "attempt-failed", "reason=" + failure.type().label());
        if (failure.type() == ErrorType.UPSTREAM_BROKEN || failure.type() == ErrorType.UPSTREAM_UNREACHABLE) {
            permits.suspect(permit.upstream());
        }
        if (failure.run() == RunOutcome.NO) {
            permits.release(permit);
        } else {
            mayHaveRun = true;
            context.vertx().setTimer(UNANSWERED_CALL_HOLD_MILLIS, timer -> permits.release(permit));
        }
        boolean repeatable = isIdempotent() || failure.run() == RunOutcome.NO;
        if (!repeatable) {
            finish(failure);
        } else if (attempts >= maxAttempts() || !budget.tryRetry()) {
            finish(new EndiveholdException(ErrorType.RETRIES_EXHAUSTED, attempts).causedBy(failure));
        } else {
            requestPermit();
        }
    }

    private int maxAttempts() {
        return context.settings().retry().maxAttempts();
    }

    /** Fails the call. Its claim is recorded as unknown if any attempt may have run, and released otherwise. */
    private void finish(EndiveholdException failure) {
        if (mayHaveRun) {
            claim.ifPresent(ledger::recordUnknown);
            result.fail(outcomeUnknown(failure));
        } else {
            claim.ifPresent(ledger::release);
            result.fail(failure);
        }
    }

    private EndiveholdException outcomeUnknown(EndiveholdException failure) {
        ErrorType type = remainingMillis() <= 0 ? ErrorType.DEADLINE_EXCEEDED : failure.type();
        if (type == failure.type() && failure.run() != RunOutcome.NO) {
            return failure;
        }
        return type == ErrorType.DEADLINE_EXCEEDED
                ? new EndiveholdException(RunOutcome.UNKNOWN, type).causedBy(failure)
                : new EndiveholdException(RunOutcome.UNKNOWN, ErrorType.RETRIES_EXHAUSTED, attempts).causedBy(failure);
    }
}
