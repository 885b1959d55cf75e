package org.endivehold.daemon.request;

import java.util.List;
import org.endivehold.daemon.upstream.InvalidAnswers;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.error.RunOutcome;
import org.endivehold.misc.UpstreamName;
import org.endivehold.placement.Candidate;
import org.endivehold.stream.RetryDecision;
import org.endivehold.stream.StreamAssembler;
import org.endivehold.upstream.CacheHandle;
import org.endivehold.upstream.GenerateRequest;
import org.endivehold.upstream.StreamEnd;
import org.endivehold.upstream.StreamPiece;
import org.endivehold.upstream.StreamStarted;

/**
 * One generation request from arrival to its end. It waits for an engine, reads the answer over one or more attempts,
 * and ends exactly once: complete, failed, or cancelled by its caller.
 */
final class GenerationRun implements EngineStream.Listener {
    private static final String COMPLETE = "complete";
    private static final String CALLER_GONE = "caller-gone";
    private static final long RESUME_DELAY_MILLIS = 50;
    private static final long RETRY_AFTER_MILLIS = 1_000;
    /** Time without events after which a running stream counts as stalled, in milliseconds. */
    static final long STALL_TIMEOUT_MILLIS = 10_000;

    private final GenerationCall call;
    private final AnswerSink sink;
    private final GenerationResources resources;
    private final EngineSelector selector;
    private final GenerationRunListener listener;
    private final EngineRequirements requirements;
    private final RunReport report;
    private final StreamAssembler assembler = new StreamAssembler();
    private final long deadlineTimer;
    private Runnable engineLeftHandler = () -> {};
    private long latestStartAt;
    private EngineStream stream;
    private Candidate candidate;
    private long sentAt;
    private long lastActivityAt;
    private long prefillTokens;
    private boolean prefilling;
    private boolean ended;

    /**
     * Creates a run and starts its deadline timer.
     *
     * @param call the call
     * @param sink receives the answer
     * @param resources services shared by all runs
     * @param selector selects engines
     * @param listener receives the events of this run
     */
    GenerationRun(
            GenerationCall call,
            AnswerSink sink,
            GenerationResources resources,
            EngineSelector selector,
            GenerationRunListener listener) {
        this.call = call;
        this.sink = sink;
        this.resources = resources;
        this.selector = selector;
        this.listener = listener;
        this.requirements = new EngineRequirements(call);
        this.report = new RunReport(call, resources);
        long remainingMillis = Math.max(1, call.deadlineAt() - resources.now());
        this.deadlineTimer = resources.context().vertx().setTimer(remainingMillis, id -> deadlineExceeded());
        sink.onWritable(() -> pause(false));
    }

    /**
     * Starts a stream on a selected engine.
     *
     * @param selection the engine and its permits, which the run releases
     * @param attached exported caches of the earlier parts of the prompt
     */
    void startOn(EngineSelector.Selection selection, List<CacheHandle> attached) {
        candidate = selection.candidate();
        report.placed(candidate.upstream());
        try {
            stream = new EngineStream(
                    resources,
                    candidate.upstream(),
                    resources.upstreams().engine(candidate.upstream()),
                    resources.streamIds().next(),
                    selection.permits(),
                    this);
        } catch (EndiveholdException e) {
            resources.release(selection.permits());
            retryElsewhere(candidate.upstream(), RetryDecision.Action.RETRY, e);
            return;
        }
        long attachedTokens = attached.stream().mapToLong(CacheHandle::tokens).sum();
        prefillTokens = Math.max(0, call.promptTokens() - Math.max(candidate.cachedTokens(), attachedTokens));
        prefilling = true;
        selector.sent(candidate.upstream(), requirements, prefillTokens);
        sentAt = resources.now();
        lastActivityAt = sentAt;
        stream.start(assembler.nextAttempt(), request(attached));
    }

    private GenerateRequest request(List<CacheHandle> attached) {
        GenerateRequest.Builder builder = GenerateRequest.builder(
                        stream.id(), resources.owner(), requirements.version())
                .prompt(call.prompt())
                .delivered(assembler.text(), assembler.tokens())
                .maxTokens(call.maxTokens())
                .priority(requirements.priority())
                .attached(attached);
        call.route().adapter().ifPresent(builder::adapter);
        return builder.build();
    }

    /** Ends the run because the caller has disconnected. */
    void cancel() {
        if (!ended) {
            finish(CALLER_GONE);
        }
    }

    /**
     * Ends the run with a failure.
     *
     * @param failure the failure
     * @param retryAfterMillis time after which the caller should retry, in milliseconds; 0 for no advice
     */
    void fail(EndiveholdException failure, long retryAfterMillis) {
        if (!ended) {
            finish(failure.type().label());
            sink.fail(failure, retryAfterMillis);
        }
    }

    /**
     * Ends the run with a failure that carries the run outcome known so far.
     *
     * @param type type of the failure
     * @param args values for the message template of the type
     */
    void giveUp(ErrorType type, Object... args) {
        fail(new EndiveholdException(runOutcome(), type, args), RETRY_AFTER_MILLIS);
    }

    /** Sends a keep-alive to the caller before the first token; fails a connection that has stalled. */
    void checkLiveness() {
        if (ended) {
            return;
        }
        if (assembler.tokens() == 0) {
            sink.keepAlive();
        } else if (stream != null && !stream.isPaused() && resources.now() - lastActivityAt > STALL_TIMEOUT_MILLIS) {
            lastActivityAt = resources.now();
            stream.failConnection(new EndiveholdException(
                    RunOutcome.PARTIAL, ErrorType.UPSTREAM_TIMEOUT, stream.upstream(), STALL_TIMEOUT_MILLIS));
        }
    }

    private void deadlineExceeded() {
        fail(new EndiveholdException(runOutcome(), ErrorType.DEADLINE_EXCEEDED), RETRY_AFTER_MILLIS);
    }

    private RunOutcome runOutcome() {
        if (assembler.tokens() > 0) {
            return RunOutcome.PARTIAL;
        }
        return report.mayHaveRun() ? RunOutcome.UNKNOWN : RunOutcome.NO;
    }

    private void pause(boolean value) {
        lastActivityAt = resources.now();
        if (stream != null) {
            stream.pause(value);
        }
    }

    @Override
    public void started(StreamStarted started) {
        lastActivityAt = resources.now();
        report.accepted(started);
        selector.accepted(stream.upstream(), started.boot(), candidate.cachedTokens(), started.cachedTokens());
        listener.reattachToken(this, stream).ifPresent(sink::reattachToken);
    }

    @Override
    public void piece(int attempt, StreamPiece piece) {
        lastActivityAt = resources.now();
        prefillEnded(true);
        switch (assembler.accept(attempt, piece)) {
            case APPENDED -> deliver(piece);
            case BROKEN ->
                stream.failConnection(new EndiveholdException(
                        RunOutcome.PARTIAL,
                        ErrorType.UPSTREAM_PROTOCOL,
                        stream.upstream(),
                        "gap or overlap at " + piece.offset()));
            case DROPPED -> report.dropped(piece);
            default -> throw new IllegalStateException();
        }
    }

    private void deliver(StreamPiece piece) {
        report.delivered(piece);
        sink.piece(piece);
        if (!ended && !sink.isWritable()) {
            pause(true);
        }
    }

    private void prefillEnded(boolean recordRate) {
        if (!prefilling) {
            return;
        }
        prefilling = false;
        selector.prefillEnded(candidate.upstream(), prefillTokens);
        if (recordRate) {
            selector.firstToken(candidate, prefillTokens, resources.now() - sentAt);
        }
    }

    @Override
    public void finished(StreamEnd end) {
        if (end.completionTokens() > assembler.tokens()) {
            stream.failConnection(
                    new EndiveholdException(RunOutcome.PARTIAL, ErrorType.UPSTREAM_BROKEN, stream.upstream()));
            return;
        }
        stream.complete();
        finish(COMPLETE);
        sink.end(end);
    }

    @Override
    public void failed(EndiveholdException failure) {
        UpstreamName upstream = stream.upstream();
        boolean refused = failure.run() == RunOutcome.NO && failure.type() == ErrorType.UPSTREAM_REFUSED;
        RetryDecision decision = RetryDecision.of(new RetryDecision.FailedAttempt(
                failure, stream.isAccepted(), assembler.tokens(), call.route().idempotent(), stream.resumes()));
        report.failed(upstream, failure, decision.action(), stream.isAccepted());
        InvalidAnswers.report(resources.context(), call.id(), upstream, failure);
        selector.failed(upstream, !refused);
        switch (decision.action()) {
            case RESUME -> scheduleResume();
            case RETRY, CONTINUE -> retryElsewhere(upstream, decision.action(), failure);
            case GIVE_UP -> fail(withRunOutcome(failure), RETRY_AFTER_MILLIS);
            default -> throw new IllegalStateException();
        }
    }

    private void scheduleResume() {
        EngineStream resumed = stream;
        long delay = Math.max(1, RESUME_DELAY_MILLIS * resumed.resumes());
        resources.context().vertx().setTimer(delay, id -> {
            if (!ended && stream == resumed) {
                resumed.resume(assembler.nextAttempt(), assembler.tokens());
            }
        });
    }

    private EndiveholdException withRunOutcome(EndiveholdException failure) {
        if (failure.run() == runOutcome()) {
            return failure;
        }
        return new EndiveholdException(runOutcome(), ErrorType.UPSTREAM_BROKEN, report.upstream()).causedBy(failure);
    }

    /**
     * Leaves the engine and requests another one, within the maximum number of attempts and the retry budget.
     *
     * @param upstream the engine that failed
     * @param action whether to start from the beginning or to continue after the delivered text
     * @param failure the failure of the engine
     */
    void retryElsewhere(UpstreamName upstream, RetryDecision.Action action, EndiveholdException failure) {
        prefillEnded(false);
        requirements.failedUpstreams().add(upstream);
        if (stream != null) {
            stream.abandon();
            stream = null;
        }
        runEngineLeftHandler();
        int attempts = report.placements();
        if (attempts >= resources.context().settings().retry().maxAttempts()
                || !resources.retryBudget().tryRetry()) {
            giveUp(ErrorType.RETRIES_EXHAUSTED, attempts);
            return;
        }
        report.note("retry", "action=" + action + " after=" + failure.type().label());
        listener.engineNeeded(this);
    }

    private void finish(String outcome) {
        ended = true;
        resources.context().vertx().cancelTimer(deadlineTimer);
        prefillEnded(false);
        if (stream != null) {
            selector.inconclusive(stream.upstream());
            stream.abandon();
        }
        runEngineLeftHandler();
        report.ended(outcome, assembler.tokens());
        listener.ended(this);
    }

    /**
     * Sets a handler that runs once, when the run next leaves its engines or ends.
     *
     * @param handler the handler
     */
    void onEngineLeft(Runnable handler) {
        engineLeftHandler = handler;
    }

    private void runEngineLeftHandler() {
        Runnable handler = engineLeftHandler;
        engineLeftHandler = () -> {};
        handler.run();
    }

    /**
     * Sets the time after which the run can no longer be finished before its deadline.
     *
     * @param at monotonic time in milliseconds
     */
    void latestStart(long at) {
        latestStartAt = at;
    }

    long latestStart() {
        return latestStartAt;
    }

    GenerationCall call() {
        return call;
    }

    EngineRequirements requirements() {
        return requirements;
    }

    boolean isEnded() {
        return ended;
    }

    RunReport report() {
        return report;
    }
}
