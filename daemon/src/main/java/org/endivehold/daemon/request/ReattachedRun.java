package org.endivehold.daemon.request;

import java.util.List;
import java.util.function.Consumer;
import org.endivehold.daemon.upstream.InvalidAnswers;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.error.RunOutcome;
import org.endivehold.misc.LogEvent;
import org.endivehold.stream.RetryDecision;
import org.endivehold.stream.StreamAssembler;
import org.endivehold.upstream.StreamEnd;
import org.endivehold.upstream.StreamPiece;
import org.endivehold.upstream.StreamStarted;
import org.jboss.logging.Logger;

/**
 * A stream that an earlier request started, usually at another daemon, and that this daemon continues for its caller.
 * It takes no permit, because the engine already counts the stream. It can be resumed only on its own engine, because
 * neither its prompt nor the text before the offset is known here.
 */
final class ReattachedRun implements EngineStream.Listener {
    private static final Logger log = Logger.getLogger(ReattachedRun.class);
    private static final long RESUME_DELAY_MILLIS = 50;

    private final ReattachToken token;
    private final long offset;
    private final AnswerSink sink;
    private final GenerationResources resources;
    private final Consumer<ReattachedRun> onEnd;
    private final StreamAssembler assembler;
    private final EngineStream stream;
    private final long deadlineTimer;
    private boolean ended;

    /**
     * Creates a run and starts its deadline timer.
     *
     * @param token the verified token
     * @param offset number of tokens that the caller already has
     * @param sink receives the rest of the answer
     * @param resources gives engines
     * @param onEnd called when the run has ended
     * @throws EndiveholdException of type {@code NO_UPSTREAM} if the engine is no longer configured
     */
    ReattachedRun(
            ReattachToken token,
            long offset,
            AnswerSink sink,
            GenerationResources resources,
            Consumer<ReattachedRun> onEnd)
            throws EndiveholdException {
        this.token = token;
        this.offset = offset;
        this.sink = sink;
        this.resources = resources;
        this.onEnd = onEnd;
        this.assembler = new StreamAssembler(offset);
        this.stream = new EngineStream(
                resources,
                token.upstream(),
                resources.upstreams().engine(token.upstream()),
                token.stream(),
                List.of(),
                this);
        long remainingMillis = Math.max(1, token.expiresAtEpochMillis() - System.currentTimeMillis());
        this.deadlineTimer = resources.context().vertx().setTimer(remainingMillis, id -> deadlineExceeded());
        sink.onWritable(() -> stream.pause(false));
    }

    /** Starts to read the stream from the offset. */
    void start() {
        stream.resume(assembler.nextAttempt(), offset);
    }

    /** Ends the run because the caller has disconnected. */
    void cancel() {
        if (!ended) {
            finish("caller-gone");
        }
    }

    private void deadlineExceeded() {
        fail(new EndiveholdException(RunOutcome.PARTIAL, ErrorType.DEADLINE_EXCEEDED), 0);
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

    @Override
    public void started(StreamStarted started) {
        // The caller has the token already.
    }

    @Override
    public void piece(int attempt, StreamPiece piece) {
        StreamAssembler.Verdict verdict = assembler.accept(attempt, piece);
        if (verdict == StreamAssembler.Verdict.BROKEN) {
            stream.failConnection(new EndiveholdException(
                    RunOutcome.PARTIAL,
                    ErrorType.UPSTREAM_PROTOCOL,
                    token.upstream(),
                    "gap or overlap at " + piece.offset()));
        } else if (verdict == StreamAssembler.Verdict.APPENDED) {
            sink.piece(piece);
            if (!ended && !sink.isWritable()) {
                stream.pause(true);
            }
        }
    }

    @Override
    public void finished(StreamEnd end) {
        if (end.completionTokens() > assembler.tokens()) {
            stream.failConnection(
                    new EndiveholdException(RunOutcome.PARTIAL, ErrorType.UPSTREAM_BROKEN, token.upstream()));
            return;
        }
        stream.complete();
        finish("complete");
        sink.end(end);
    }

    @Override
    public void failed(EndiveholdException failure) {
        InvalidAnswers.report(resources.context(), token.stream(), token.upstream(), failure);
        boolean idempotent = false;
        // The first resume opened the stream here, and is not a retry.
        RetryDecision decision = RetryDecision.of(new RetryDecision.FailedAttempt(
                failure, stream.isAccepted(), assembler.tokens(), idempotent, stream.resumes() - 1));
        if (decision.action() == RetryDecision.Action.RESUME) {
            resources.context().vertx().setTimer(RESUME_DELAY_MILLIS, id -> resume());
        } else {
            fail(
                    new EndiveholdException(RunOutcome.PARTIAL, ErrorType.STREAM_UNKNOWN, token.stream())
                            .causedBy(failure),
                    0);
        }
    }

    private void resume() {
        if (!ended) {
            stream.resume(assembler.nextAttempt(), assembler.tokens());
        }
    }

    private void finish(String outcome) {
        ended = true;
        resources.context().vertx().cancelTimer(deadlineTimer);
        stream.abandon();
        LogEvent.of("reattached-ended")
                .with("stream", token.stream())
                .with("customer", token.customer())
                .with("upstream", token.upstream())
                .with("outcome", outcome)
                .with("offset", offset)
                .with("tokens", assembler.tokens() - offset)
                .info(log);
        onEnd.accept(this);
    }
}
