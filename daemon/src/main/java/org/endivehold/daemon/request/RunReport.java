package org.endivehold.daemon.request;

import org.endivehold.error.EndiveholdException;
import org.endivehold.error.RunOutcome;
import org.endivehold.misc.LogEvent;
import org.endivehold.misc.UpstreamName;
import org.endivehold.stream.RetryDecision;
import org.endivehold.upstream.StreamPiece;
import org.endivehold.upstream.StreamStarted;
import org.jboss.logging.Logger;

/** Records what happens to one request, for its trace, its histograms and its log line. */
final class RunReport {
    private static final Logger log = Logger.getLogger(RunReport.class);

    private final GenerationCall call;
    private final GenerationResources resources;
    private UpstreamName upstream;
    private int placements;
    private int attemptsNotRun;
    private long firstTokenMillis = -1;
    private long firstTokenAt;
    private long dropped;

    /**
     * Creates the report of a request that has just arrived.
     *
     * @param call the call
     * @param resources gives trace, metrics and estimators
     */
    RunReport(GenerationCall call, GenerationResources resources) {
        this.call = call;
        this.resources = resources;
    }

    /**
     * The request was placed on an engine.
     *
     * @param name the engine
     */
    void placed(UpstreamName name) {
        upstream = name;
        placements++;
        if (placements == 1) {
            resources.metrics().queued(call, resources.now() - call.arrivedAt());
            resources.retryBudget().firstAttempt();
        }
        note("placed", "upstream=" + name + " placement=" + placements);
    }

    /**
     * The engine accepted the stream.
     *
     * @param started what the engine reported when it accepted the stream
     */
    void accepted(StreamStarted started) {
        note("accepted", "stream=" + started.stream() + " cached=" + started.cachedTokens());
    }

    /**
     * A piece is about to be delivered to the caller.
     *
     * @param piece the piece
     */
    void delivered(StreamPiece piece) {
        if (firstTokenMillis < 0) {
            firstTokenAt = resources.now();
            firstTokenMillis = firstTokenAt - call.arrivedAt();
            resources.metrics().firstToken(call, firstTokenMillis);
            note("first-token", "offset=" + piece.offset());
        }
    }

    /**
     * A piece was dropped, since it came late or repeated delivered tokens.
     *
     * @param piece the piece
     */
    void dropped(StreamPiece piece) {
        dropped += piece.tokens();
    }

    /**
     * An attempt failed.
     *
     * @param name the engine
     * @param failure the failure
     * @param action what is done next
     * @param accepted whether the engine had accepted the stream before
     */
    void failed(UpstreamName name, EndiveholdException failure, RetryDecision.Action action, boolean accepted) {
        if (failure.run() == RunOutcome.NO && !accepted) {
            attemptsNotRun++;
        }
        note("failed", "upstream=" + name + " type=" + failure.type().label() + " then=" + action);
    }

    /**
     * Returns whether any attempt may have run.
     *
     * @return false if there was no attempt, or every attempt is known not to have run
     */
    boolean mayHaveRun() {
        return placements > attemptsNotRun;
    }

    /**
     * Returns the engine that the request was last placed on.
     *
     * @return the engine, or null before the first placement
     */
    UpstreamName upstream() {
        return upstream;
    }

    /**
     * Returns how often the request was placed on an engine.
     *
     * @return number of placements; an engine counts each time
     */
    int placements() {
        return placements;
    }

    /**
     * The request has ended.
     *
     * @param outcome {@code complete}, {@code caller-gone} or the name of the error type, such as {@code queue-full}
     * @param tokens number of tokens that the caller received
     */
    void ended(String outcome, long tokens) {
        long now = resources.now();
        long total = now - call.arrivedAt();
        resources.metrics().ended(call, outcome, total);
        if (firstTokenMillis >= 0) {
            resources.serviceTimes().answered(tokens - 1, now - firstTokenAt);
        }
        note("ended", "outcome=" + outcome);
        LogEvent.of("request-ended")
                .with("request", call.id())
                .with("customer", call.customer())
                .with("class", call.route().requestClass().label())
                .with("upstream", upstream)
                .with("placements", placements)
                .with("outcome", outcome)
                .with("prompt-tokens", call.promptTokens())
                .with("first-token-millis", firstTokenMillis)
                .with("total-millis", total)
                .with("tokens", tokens)
                .with("dropped-tokens", dropped)
                .info(log);
    }

    /**
     * Adds a decision to the request's trace.
     *
     * @param step what was decided
     * @param detail key=value pairs
     */
    void note(String step, String detail) {
        resources.note(call.id(), step, detail);
    }
}
