package org.endivehold.daemon.request;

import java.util.List;
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
 * One generation request from arrival to its end. It waits for an engine, reads the answer over as many attempts as it
 * takes, and ends exactly once: complete, failed, or cancelled by its caller.
 */
final class GenerationRun implements EngineStream.Listener {
    private static final String COMPLETE = "complete";
    private static final String CALLER_GONE = "caller-gone";
    private static final long RESUME_DELAY_MILLIS = 50;
    private static final long RETRY_AFTER_MILLIS = 1_000;
    /** Longest silence of a running stream before it is read again, in milliseconds. */
    static final long STALL_MILLIS = 10_000;

    private final GenerationCall call;
    private final AnswerSink sink;
    private final GenerationResources resources;
    private final EngineSelector selector;
    private final GenerationRunListener listener;
    private final EngineNeed need;
    private final RunReport report;
    private final StreamAssembler assembler = new StreamAssembler();
    private final long deadlineTimer;
    private Runnable leave = () -> {};
    private long latestStartAt;
    private EngineStream stream;
    private Candidate candidate;
    private long sentAt;
    private long lastSignAt;
    private long prefillTokens;
    private boolean prefilling;
    private boolean ended;

    /**
     * Creates a run and starts its deadline.
     *
     * @param call the call
     * @param sink gets the answer
     * @param resources what runs use
     * @param selector selects engines
     * @param listener the service
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
        this.need = new EngineNeed(call);
        this.report = new RunReport(call, resources);
        long left = Math.max(1, call.deadlineAt() - resources.now());
        this.deadlineTimer = resources.context().vertx().setTimer(left, id -> deadline());
        sink.onWritable(() -> pause(false));
    }

    /**
     * Starts a stream on a selected engine.
     *
     * @param selected the engine and the permits, which the run gives back
     * @param attached caches of earlier parts of the prompt
     */
    void begin(EngineSelector.Selected selected, List<CacheHandle> attached) {
        candidate = selected.candidate();
        report.placed(candidate.upstream());
        try {
            stream = new EngineStream(
                    resources,
                    candidate.upstream(),
                    resources.upstreams().engine(candidate.upstream()),
                    resources.streams().next(),
                    selected.permits(),
                    this);
        } catch (EndiveholdException e) {
            resources.release(selected.permits());
            tryAgain(candidate.upstream(), RetryDecision.Action.RETRY, e);
            return;
        }
        long inHandles = attached.stream().mapToLong(CacheHandle::tokens).sum();
        prefillTokens = Math.max(0, call.promptTokens() - Math.max(candidate.cachedTokens(), inHandles));
        prefilling = true;
        selector.sent(candidate.upstream(), need, prefillTokens);
        sentAt = resources.now();
        lastSignAt = sentAt;
        stream.start(assembler.nextAttempt(), request(attached));
    }

    private GenerateRequest request(List<CacheHandle> attached) {
        GenerateRequest.Builder builder = GenerateRequest.builder(stream.id(), resources.owner(), need.version())
                .prompt(call.prompt())
                .delivered(assembler.text(), assembler.tokens())
                .maxTokens(call.maxTokens())
                .priority(need.priority())
                .attached(attached);
        call.route().adapter().ifPresent(builder::adapter);
        return builder.build();
    }

    /** Ends the run because the caller is gone. */
    void cancel() {
        if (!ended) {
            finish(CALLER_GONE);
        }
    }

    /**
     * Ends the run with a failure.
     *
     * @param failure the failure
     * @param retryAfterMillis when the caller should come back in milliseconds, 0 if unknown
     */
    void fail(EndiveholdException failure, long retryAfterMillis) {
        if (!ended) {
            finish(failure.type().word());
            sink.fail(failure, retryAfterMillis);
        }
    }

    /**
     * Ends the run with a failure that says what is known about its execution.
     *
     * @param type what failed
     * @param args values for the message template
     */
    void giveUp(ErrorType type, Object... args) {
        fail(new EndiveholdException(runOutcome(), type, args), RETRY_AFTER_MILLIS);
    }

    /** Keeps the caller's connection alive while nothing arrives, and reads a silent stream again. */
    void tick() {
        if (ended) {
            return;
        }
        if (assembler.tokens() == 0) {
            sink.keepAlive();
        } else if (stream != null && !stream.isPaused() && resources.now() - lastSignAt > STALL_MILLIS) {
            lastSignAt = resources.now();
            stream.breakOff(new EndiveholdException(
                    RunOutcome.PARTIAL, ErrorType.UPSTREAM_TIMEOUT, stream.upstream(), STALL_MILLIS));
        }
    }

    private void deadline() {
        fail(new EndiveholdException(runOutcome(), ErrorType.DEADLINE_EXCEEDED), RETRY_AFTER_MILLIS);
    }

    private RunOutcome runOutcome() {
        if (assembler.tokens() > 0) {
            return RunOutcome.PARTIAL;
        }
        return report.mayHaveRun() ? RunOutcome.UNKNOWN : RunOutcome.NO;
    }

    private void pause(boolean value) {
        lastSignAt = resources.now();
        if (stream != null) {
            stream.pause(value);
        }
    }

    @Override
    public void started(StreamStarted started) {
        lastSignAt = resources.now();
        report.accepted(started);
        selector.accepted(stream.upstream(), started.boot(), candidate.cachedTokens(), started.cachedTokens());
        listener.reattachToken(this, stream).ifPresent(sink::reattachToken);
    }

    @Override
    public void piece(int attempt, StreamPiece piece) {
        lastSignAt = resources.now();
        prefillEnded(true);
        switch (assembler.accept(attempt, piece)) {
            case APPENDED -> deliver(piece);
            case BROKEN ->
                stream.breakOff(new EndiveholdException(
                        RunOutcome.PARTIAL,
                        ErrorType.UPSTREAM_PROTOCOL,
                        stream.upstream(),
                        "gap at " + piece.offset()));
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

    private void prefillEnded(boolean sample) {
        if (!prefilling) {
            return;
        }
        prefilling = false;
        selector.prefillEnded(candidate.upstream(), prefillTokens);
        if (sample) {
            selector.firstToken(candidate, prefillTokens, resources.now() - sentAt);
        }
    }

    @Override
    public void finished(StreamEnd end) {
        if (end.completionTokens() > assembler.tokens()) {
            stream.breakOff(new EndiveholdException(RunOutcome.PARTIAL, ErrorType.UPSTREAM_BROKEN, stream.upstream()));
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
        RetryDecision decision = RetryDecision.of(new RetryDecision.Failed(
                failure, stream.isAccepted(), assembler.tokens(), call.route().idempotent(), stream.resumes()));
        report.failed(upstream, failure, decision.action(), stream.isAccepted());
        selector.failed(upstream, !refused);
        switch (decision.action()) {
            case RESUME -> resumeLater();
            case RETRY, CONTINUE -> tryAgain(upstream, decision.action(), failure);
            case GIVE_UP -> fail(withRun(failure), RETRY_AFTER_MILLIS);
            default -> throw new IllegalStateException();
        }
    }

    private void resumeLater() {
        EngineStream resumed = stream;
        long delay = Math.max(1, RESUME_DELAY_MILLIS * resumed.resumes());
        resources.context().vertx().setTimer(delay, id -> {
            if (!ended && stream == resumed) {
                resumed.resume(assembler.nextAttempt(), assembler.tokens());
            }
        });
    }

    private EndiveholdException withRun(EndiveholdException failure) {
        if (failure.run() == runOutcome()) {
            return failure;
        }
        return new EndiveholdException(runOutcome(), ErrorType.UPSTREAM_BROKEN, report.upstream()).causedBy(failure);
    }

    /**
     * Leaves the engine and asks for another, within the bounds of retries.
     *
     * @param upstream the engine that failed
     * @param action whether to start again or to go on after the delivered text
     * @param failure the failure
     */
    void tryAgain(UpstreamName upstream, RetryDecision.Action action, EndiveholdException failure) {
        prefillEnded(false);
        need.failed().add(upstream);
        if (stream != null) {
            stream.abandon();
            stream = null;
        }
        left();
        int attempts = report.placements();
        if (attempts >= resources.context().settings().retry().maxAttempts()
                || !resources.budget().take()) {
            giveUp(ErrorType.RETRIES_EXHAUSTED, attempts);
            return;
        }
        report.note("retry", "action=" + action + " after=" + failure.type().word());
        listener.replace(this);
    }

    private void finish(String outcome) {
        ended = true;
        resources.context().vertx().cancelTimer(deadlineTimer);
        prefillEnded(false);
        if (stream != null) {
            selector.inconclusive(stream.upstream());
            stream.abandon();
        }
        left();
        report.ended(outcome, assembler.tokens());
        listener.ended(this);
    }

    /**
     * Sets what has to be done once when the run leaves its present engines.
     *
     * @param step the step
     */
    void onLeave(Runnable step) {
        leave = step;
    }

    private void left() {
        Runnable step = leave;
        leave = () -> {};
        step.run();
    }

    /**
     * Sets when the run has to start on an engine at the latest.
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

    EngineNeed need() {
        return need;
    }

    boolean isEnded() {
        return ended;
    }

    RunReport report() {
        return report;
    }
}
