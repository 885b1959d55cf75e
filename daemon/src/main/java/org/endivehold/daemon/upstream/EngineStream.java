package org.endivehold.daemon.upstream;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.error.RunOutcome;
import org.endivehold.misc.StreamId;
import org.endivehold.misc.UpstreamName;
import org.endivehold.upstream.Engine;
import org.endivehold.upstream.StreamEnd;
import org.endivehold.upstream.StreamListener;
import org.endivehold.upstream.StreamPiece;
import org.endivehold.upstream.StreamStarted;
import org.endivehold.upstream.protocol.CompletionChunk;
import org.endivehold.upstream.protocol.EnginePaths;
import org.endivehold.upstream.protocol.ProtocolJson;
import org.endivehold.upstream.protocol.StartedBody;

/**
 * Reads one stream of an engine. The outcome of a failure follows from how far the exchange got: without a connection
 * nothing ran; once a byte may have been sent the run is unknown; after the first piece it is partial. While paused,
 * events that were parsed already are kept and the connection is not read.
 */
final class EngineStream implements Engine.StreamHandle {
    private final Vertx vertx;
    private final UpstreamName upstream;
    private final StreamId stream;
    private final StreamListener listener;
    private final Runnable cancelOnEngine;
    private final EventStreamParser parser;
    private final Deque<EventStreamParser.Event> events = new ArrayDeque<>();
    private Optional<HttpClientRequest> request = Optional.empty();
    private Optional<HttpClientResponse> response = Optional.empty();
    private long acceptTimer = -1;
    private long offset;
    private boolean delivered;
    private boolean paused;
    private boolean delivering;
    private boolean closed;

    EngineStream(
            Vertx vertx,
            UpstreamName upstream,
            StreamId stream,
            long offset,
            StreamListener listener,
            Runnable cancelOnEngine) {
        this.vertx = vertx;
        this.upstream = upstream;
        this.stream = stream;
        this.offset = offset;
        this.listener = listener;
        this.cancelOnEngine = cancelOnEngine;
        parser = new EventStreamParser(upstream);
    }

    /** Takes the connection; the answer has to begin within a time limit. */
    void connected(HttpClientRequest open, Buffer body, long acceptMillis) {
        if (closed) {
            open.reset();
            return;
        }
        request = Optional.of(open);
        acceptTimer = vertx.setTimer(acceptMillis, ignored -> {
            fail(new EndiveholdException(RunOutcome.UNKNOWN, ErrorType.UPSTREAM_TIMEOUT, upstream, acceptMillis));
            cancelOnEngine.run();
        });
        open.send(body).onSuccess(this::answered).onFailure(this::broke);
    }

    /** Takes the news that no connection could be made. */
    void unreachable(Throwable cause) {
        fail(new EndiveholdException(ErrorType.UPSTREAM_UNREACHABLE, upstream).causedBy(cause));
    }

    @Override
    public void cancel() {
        if (!closed) {
            close();
            cancelOnEngine.run();
        }
    }

    @Override
    public void detach() {
        close();
    }

    @Override
    public void pause(boolean value) {
        paused = value;
        if (paused) {
            response.ifPresent(HttpClientResponse::pause);
        } else if (!delivering) {
            deliver();
        }
    }

    private void answered(HttpClientResponse answer) {
        vertx.cancelTimer(acceptTimer);
        if (closed) {
            return;
        }
        if (answer.statusCode() != 200) {
            answer.body()
                    .onSuccess(body -> fail(EngineErrors.of(upstream, answer.statusCode(), body, Optional.of(stream))))
                    .onFailure(this::broke);
            return;
        }
        response = Optional.of(answer);
        answer.handler(this::received);
        answer.endHandler(ignored -> broke(null));
        answer.exceptionHandler(this::broke);
        if (paused) {
            answer.pause();
        }
    }

    private void received(Buffer chunk) {
        if (closed) {
            return;
        }
        try {
            events.addAll(parser.feed(chunk));
        } catch (EndiveholdException e) {
            fail(e);
            return;
        }
        deliver();
    }

    private void deliver() {
        delivering = true;
        while (!paused && !closed && !events.isEmpty()) {
            deliver(events.removeFirst());
        }
        delivering = false;
        if (!paused && !closed) {
            response.ifPresent(HttpClientResponse::resume);
        }
    }

    private void deliver(EventStreamParser.Event event) {
        byte[] json = event.data().getBytes(StandardCharsets.UTF_8);
        if (event.name().equals(EnginePaths.STARTED)) {
            ProtocolJson.read(json, StartedBody.class)
                    .ifPresentOrElse(
                            body -> listener.started(new StreamStarted(body.id(), body.boot(), body.cachedTokens())),
                            () -> violated("malformed start"));
        } else if (!event.data().equals(EnginePaths.DONE)) {
            ProtocolJson.read(json, CompletionChunk.class)
                    .filter(chunk -> chunk.choices() != null && chunk.choices().size() == 1)
                    .ifPresentOrElse(this::chunk, () -> violated("malformed event"));
        }
    }

    private void chunk(CompletionChunk chunk) {
        if (chunk.offset() != offset) {
            violated("offset " + chunk.offset() + " in place of " + offset);
            return;
        }
        CompletionChunk.Choice choice = chunk.choices().get(0);
        if (chunk.tokens() > 0) {
            offset += chunk.tokens();
            delivered = true;
            listener.piece(new StreamPiece(chunk.offset(), chunk.tokens(), choice.text()));
        }
        if (choice.finishReason().isPresent() && chunk.usage().isPresent() && !closed) {
            closed = true;
            CompletionChunk.Usage usage = chunk.usage().get();
            listener.finished(
                    new StreamEnd(choice.finishReason().get(), usage.promptTokens(), usage.completionTokens()));
        }
    }

    private void violated(String how) {
        fail(new EndiveholdException(outcome(), ErrorType.UPSTREAM_PROTOCOL, upstream, how));
    }

    private void broke(Throwable cause) {
        fail(new EndiveholdException(outcome(), ErrorType.UPSTREAM_BROKEN, upstream).causedBy(cause));
    }

    private RunOutcome outcome() {
        return delivered ? RunOutcome.PARTIAL : RunOutcome.UNKNOWN;
    }

    private void fail(EndiveholdException failure) {
        if (!closed) {
            close();
            listener.failed(failure);
        }
    }

    private void close() {
        if (!closed) {
            closed = true;
            vertx.cancelTimer(acceptTimer);
            events.clear();
            request.ifPresent(HttpClientRequest::reset);
        }
    }
}
