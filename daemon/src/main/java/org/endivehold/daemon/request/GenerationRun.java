package org.endivehold.daemon.request;

import java.util.List;
import java.util.Optional;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.error.RunOutcome;
import org.endivehold.grant.Permit;
import org.endivehold.misc.LogEvent;
import org.endivehold.misc.StreamId;
import org.endivehold.placement.Candidate;
import org.endivehold.placement.PlacementRequest;
import org.endivehold.upstream.GenerateRequest;
import org.endivehold.upstream.StreamEnd;
import org.endivehold.upstream.StreamOwner;
import org.endivehold.upstream.StreamPiece;
import org.endivehold.upstream.StreamStarted;
import org.jboss.logging.Logger;

/** One generation request from arrival to its end: waits for capacity, runs its attempt, ends exactly once. */
final class GenerationRun implements Attempt.Owner {
    private static final Logger log = Logger.getLogger(GenerationRun.class);
    private static final String COMPLETE = "complete";

    private final GenerationCall call;
    private final AnswerSink sink;
    private final GenerationResources resources;
    private final Listener listener;
    private final long deadlineTimer;
    private int attempts;
    private Attempt attempt;
    private long deliveredTokens;
    private long firstTokenMillis = -1;
    private boolean ended;

    /** Is told what concerns other runs. */
    interface Listener {
        /**
         * The run has ended.
         *
         * @param run the run
         */
        void ended(GenerationRun run);

        /** Capacity became free. */
        void released();

        /**
         * Names a new stream.
         *
         * @return a name that no other stream has
         */
        StreamId nextStream();
    }

    /**
     * Creates a run and starts its deadline.
     *
     * @param call the call
     * @param sink gets the answer
     * @param resources what runs use
     * @param listener the service
     */
    GenerationRun(GenerationCall call, AnswerSink sink, GenerationResources resources, Listener listener) {
        this.call = call;
        this.sink = sink;
        this.resources = resources;
        this.listener = listener;
        long left = Math.max(1, call.deadlineAt() - resources.now());
        this.deadlineTimer = resources.context().vertx().setTimer(left, id -> deadline());
        sink.onWritable(() -> pause(false));
    }

    /**
     * Tries to start the next attempt.
     *
     * @param finder finds candidates
     * @return false if no upstream has room now
     */
    boolean tryStart(CandidateFinder finder) {
        long memory = call.promptTokens() + call.maxTokens();
        List<Candidate> candidates = finder.find(call.route().version().orElseThrow(), memory);
        Optional<Candidate> chosen = resources.policy().choose(placementRequest(), candidates);
        if (chosen.isEmpty()) {
            return false;
        }
        Candidate candidate = chosen.get();
        Optional<Permit> permit = resources.capacity().acquire(candidate.upstream(), memory, resources.now());
        if (permit.isEmpty()) {
            return false;
        }
        begin(candidate, permit.get());
        return true;
    }

    private void begin(Candidate candidate, Permit permit) {
        attempts++;
        if (attempts == 1) {
            resources.metrics().queued(call, resources.now() - call.arrivedAt());
        }
        try {
            attempt = new Attempt(
                    attempts, permit, resources.upstreams().engine(candidate.upstream()), listener.nextStream(), this);
        } catch (EndiveholdException e) {
            release(permit);
            fail(e, 0);
            return;
        }
        note("placed", "upstream=" + candidate.upstream() + " attempt=" + attempts);
        attempt.start(request(attempt.stream()));
    }

    private GenerateRequest request(StreamId stream) {
        StreamOwner owner = new StreamOwner(
                resources.context().settings().host(), resources.context().incarnation());
        GenerateRequest.Builder builder = GenerateRequest.builder(
                        stream, owner, call.route().version().orElseThrow())
                .prompt(call.prompt())
                .maxTokens(call.maxTokens());
        call.route().adapter().ifPresent(builder::adapter);
        return builder.build();
    }

    private PlacementRequest placementRequest() {
        boolean isLong = call.promptTokens() > call.route().longPromptTokens();
        return new PlacementRequest(
                call.promptTokens(), call.maxTokens(), call.route().requestClass(), isLong);
    }

    /** Ends the run because the caller is gone. */
    void cancel() {
        if (!ended) {
            finish("caller-gone");
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

    /** Keeps the caller's connection alive while nothing arrives. */
    void keepAlive() {
        if (!ended && deliveredTokens == 0) {
            sink.keepAlive();
        }
    }

    private void deadline() {
        fail(new EndiveholdException(runOutcome(), ErrorType.DEADLINE_EXCEEDED), 0);
    }

    private RunOutcome runOutcome() {
        if (deliveredTokens > 0) {
            return RunOutcome.PARTIAL;
        }
        return attempts > 0 ? RunOutcome.UNKNOWN : RunOutcome.NO;
    }

    private void pause(boolean value) {
        if (attempt != null) {
            attempt.pause(value);
        }
    }

    @Override
    public void started(Attempt from, StreamStarted started) {
        note("started", "attempt=" + from.number() + " cached=" + started.cachedTokens());
    }

    @Override
    public void piece(Attempt from, StreamPiece piece) {
        if (ended || from != attempt) {
            return;
        }
        if (firstTokenMillis < 0) {
            firstTokenMillis = resources.now() - call.arrivedAt();
            resources.metrics().firstToken(call, firstTokenMillis);
        }
        deliveredTokens = piece.offset() + piece.tokens();
        sink.piece(piece);
        if (!sink.isWritable()) {
            pause(true);
        }
    }

    @Override
    public void finished(Attempt from, StreamEnd end) {
        if (!ended && from == attempt) {
            finish(COMPLETE);
            sink.end(end);
        }
    }

    @Override
    public void failed(Attempt from, EndiveholdException failure) {
        from.abandon();
        if (!ended && from == attempt) {
            fail(failure, 0);
        }
    }

    @Override
    public void release(Permit permit) {
        resources.capacity().release(permit, resources.now());
        listener.released();
    }

    private void finish(String outcome) {
        ended = true;
        resources.context().vertx().cancelTimer(deadlineTimer);
        if (attempt != null) {
            attempt.abandon();
        }
        long total = resources.now() - call.arrivedAt();
        resources.metrics().ended(call, outcome, total);
        note("ended", "outcome=" + outcome);
        LogEvent.of("request-ended")
                .with("request", call.id())
                .with("customer", call.customer())
                .with("class", call.route().requestClass().word())
                .with("upstream", attempt == null ? null : attempt.permit().upstream())
                .with("attempts", attempts)
                .with("outcome", outcome)
                .with("prompt-tokens", call.promptTokens())
                .with("first-token-millis", firstTokenMillis)
                .with("total-millis", total)
                .with("tokens", deliveredTokens)
                .info(log);
        listener.ended(this);
    }

    private void note(String step, String detail) {
        resources.context().trace().note(call.id(), step, detail);
    }
}
