package org.endivehold.daemon.request;

import org.endivehold.error.EndiveholdException;
import org.endivehold.error.RunOutcome;
import org.endivehold.misc.LogEvent;
import org.endivehold.misc.UpstreamName;
import org.endivehold.stream.RetryDecision;
import org.endivehold.upstream.StreamPiece;
import org.endivehold.upstream.StreamStarted;
import org.jboss.logging.Logger;

/** Keeps what happened to one request, for its trace, its histograms and its line in the log. */
final class RunReport {
    private static final Logger log = Logger.getLogger(RunReport.class);

    private final GenerationCall call;
    private final GenerationResources resources;
    private UpstreamName upstream;
    private int placements;
    private int notRun;
    private long firstTokenMillis = -1;
    private long firstTokenAt;
    private long dropped;

    /**
     * Creates the report of a request that has just arrived.
     *
     * @param call the call
     * @param resources trace and metrics
     */
    RunReport(GenerationCall call, GenerationResources resources) {
        this.call = call;
        this.resources = resources;
    }

    /**
     * The request goes to an engine.
     *
     * @param name the engine
     */
    void placed(UpstreamName name) {
        upstream = name;
        placements++;
        if (placements == 1) {
            resources.metrics().queued(call, resources.now() - call.arrivedAt());
            resources.budget().firstAttempt();
        }
        note("placed", "upstream=" + name + " placement=" + placements);
    }

    /**
     * The engine accepted the stream.
     *
     * @param started the acceptance
     */
    void accepted(StreamStarted started) {
        note("accepted", "stream=" + started.stream() + " cached=" + started.cachedTokens());
    }

    /**
     * A piece goes to the caller.
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
     * A piece was late or repeated.
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
     * @param action what follows
     * @param accepted whether the engine had accepted the stream before
     */
    void failed(UpstreamName name, EndiveholdException failure, RetryDecision.Action action, boolean accepted) {
        if (failure.run() == RunOutcome.NO && !accepted) {
            notRun++;
        }
        note("failed", "upstream=" + name + " type=" + failure.type().word() + " then=" + action);
    }

    /**
     * Tells whether some attempt may have run.
     *
     * @return false if there was none, or the upstreams themselves said that they did not start
     */
    boolean mayHaveRun() {
        return placements > notRun;
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
     * Returns how often the request was placed.
     *
     * @return the number of engines tried
     */
    int placements() {
        return placements;
    }

    /**
     * The request has ended.
     *
     * @param outcome {@code complete}, {@code caller-gone} or the word of the failure
     * @param tokens tokens that the caller got
     */
    void ended(String outcome, long tokens) {
        long now = resources.now();
        long total = now - call.arrivedAt();
        resources.metrics().ended(call, outcome, total);
        if (firstTokenMillis >= 0) {
            resources.times().answered(tokens - 1, now - firstTokenAt);
        }
        note("ended", "outcome=" + outcome);
        LogEvent.of("request-ended")
                .with("request", call.id())
                .with("customer", call.customer())
                .with("class", call.route().requestClass().word())
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
