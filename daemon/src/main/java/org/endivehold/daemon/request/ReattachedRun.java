package org.endivehold.daemon.request;

import java.util.List;
import java.util.function.Consumer;
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
 * A stream that another daemon started and this one reads on for its caller. It uses no capacity of this daemon: the
 * engine counts the stream already. It can only be read again on its own engine, since neither its prompt nor the text
 * before the offset is known here.
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
     * Creates a run and starts its deadline.
     *
     * @param token the verified token
     * @param offset tokens that the caller already has
     * @param sink gets the rest
     * @param resources engines and capacity
     * @param onEnd told when the run has ended
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
        long left = Math.max(1, token.expiresAtEpochMillis() - System.currentTimeMillis());
        this.deadlineTimer = resources.context().vertx().setTimer(left, id -> deadline());
        sink.onWritable(() -> stream.pause(false));
    }

    /** Reads the stream from the offset. */
    void start() {
        stream.resume(assembler.nextAttempt(), offset);
    }

    /** Ends the run because the caller is gone. */
    void cancel() {
        if (!ended) {
            finish("caller-gone");
        }
    }

    private void deadline() {
        fail(new EndiveholdException(RunOutcome.PARTIAL, ErrorType.DEADLINE_EXCEEDED), 0);
    }

    /**
     * Ends the run with a failure.
     *
     * @param failure the failure
     * @param retryAfterMillis when to come back in milliseconds, 0 if there is no advice
     */
    void fail(EndiveholdException failure, long retryAfterMillis) {
        if (!ended) {
            finish(failure.type().word());
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
            stream.breakOff(new EndiveholdException(
                    RunOutcome.PARTIAL, ErrorType.UPSTREAM_PROTOCOL, token.upstream(), "gap at " + piece.offset()));
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
            stream.breakOff(new EndiveholdException(RunOutcome.PARTIAL, ErrorType.UPSTREAM_BROKEN, token.upstream()));
            return;
        }
        stream.complete();
        finish("complete");
        sink.end(end);
    }

    @Override
    public void failed(EndiveholdException failure) {
        boolean idempotent = false;
        RetryDecision decision = RetryDecision.of(new RetryDecision.Failed(
                failure, stream.isAccepted(), assembler.tokens(), idempotent, stream.resumes() - 1));
        if (decision.action() == RetryDecision.Action.RESUME) {
            resources.context().vertx().setTimer(RESUME_DELAY_MILLIS, id -> again());
        } else {
            fail(
                    new EndiveholdException(RunOutcome.PARTIAL, ErrorType.STREAM_UNKNOWN, token.stream())
                            .causedBy(failure),
                    0);
        }
    }

    private void again() {
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
