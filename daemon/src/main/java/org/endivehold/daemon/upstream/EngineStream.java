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
 * Reads one stream of an engine. The run outcome of a failure depends on the progress of the exchange: nothing ran if
 * no connection could be opened, the outcome is unknown once a byte may have been sent, and it is partial after the
 * first piece. While paused, parsed events are queued and the connection is not read.
 */
final class EngineStream implements Engine.StreamHandle {
    private final Vertx vertx;
    private final UpstreamName upstream;
    private final StreamId stream;
    private final StreamListener listener;
    private final Runnable cancelOnEngine;
    private final EventStreamParser parser;
    private final Deque<EventStreamParser.Event> pendingEvents = new ArrayDeque<>();
    private Optional<HttpClientRequest> request = Optional.empty();
    private Optional<HttpClientResponse> response = Optional.empty();
    private long acceptTimer = -1;
    private long offset;
    private boolean anyDelivered;
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

    /** Sends the request on an open connection; fails and cancels if the answer does not begin within the timeout. */
    void sendRequest(HttpClientRequest opened, Buffer body, long acceptTimeoutMillis) {
        if (closed) {
            opened.reset();
            return;
        }
        request = Optional.of(opened);
        acceptTimer = vertx.setTimer(acceptTimeoutMillis, ignored -> {
            fail(new EndiveholdException(
                    RunOutcome.UNKNOWN, ErrorType.UPSTREAM_TIMEOUT, upstream, acceptTimeoutMillis));
            cancelOnEngine.run();
        });
        opened.send(body).onSuccess(this::handleResponse).onFailure(this::failBroken);
    }

    /** Fails the stream because no connection could be opened: nothing ran. */
    void failUnreachable(Throwable cause) {
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

    private void handleResponse(HttpClientResponse received) {
        vertx.cancelTimer(acceptTimer);
        if (closed) {
            return;
        }
        if (received.statusCode() != 200) {
            received.body()
                    .onSuccess(
                            body -> fail(EngineErrors.of(upstream, received.statusCode(), body, Optional.of(stream))))
                    .onFailure(this::failBroken);
            return;
        }
        response = Optional.of(received);
        received.handler(this::handleBytes);
        received.endHandler(ignored -> failBroken(null));
        received.exceptionHandler(this::failBroken);
        if (paused) {
            received.pause();
        }
    }

    private void handleBytes(Buffer chunk) {
        if (closed) {
            return;
        }
        try {
            pendingEvents.addAll(parser.feed(chunk));
        } catch (EndiveholdException e) {
            fail(e);
            return;
        }
        deliver();
    }

    private void deliver() {
        delivering = true;
        while (!paused && !closed && !pendingEvents.isEmpty()) {
            deliver(pendingEvents.removeFirst());
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
                            () -> failProtocol("malformed start"));
        } else if (!event.data().equals(EnginePaths.DONE)) {
            ProtocolJson.read(json, CompletionChunk.class)
                    .filter(chunk -> chunk.choices() != null && chunk.choices().size() == 1)
                    .ifPresentOrElse(this::handleChunk, () -> failProtocol("malformed event"));
        }
    }

    private void handleChunk(CompletionChunk chunk) {
        if (chunk.offset() != offset) {
            failProtocol("offset " + chunk.offset() + " in place of " + offset);
            return;
        }
        CompletionChunk.Choice choice = chunk.choices().get(0);
        if (chunk.tokens() > 0) {
            offset += chunk.tokens();
            anyDelivered = true;
            listener.piece(new StreamPiece(chunk.offset(), chunk.tokens(), choice.text()));
        }
        if (choice.finishReason().isPresent() && chunk.usage().isPresent() && !closed) {
            closed = true;
            CompletionChunk.Usage usage = chunk.usage().get();
            listener.finished(
                    new StreamEnd(choice.finishReason().get(), usage.promptTokens(), usage.completionTokens()));
        }
    }

    private void failProtocol(String violation) {
        fail(new EndiveholdException(outcome(), ErrorType.UPSTREAM_PROTOCOL, upstream, violation));
    }

    private void failBroken(Throwable cause) {
        fail(new EndiveholdException(outcome(), ErrorType.UPSTREAM_BROKEN, upstream).causedBy(cause));
    }

    private RunOutcome outcome() {
        return anyDelivered ? RunOutcome.PARTIAL : RunOutcome.UNKNOWN;
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
            pendingEvents.clear();
            request.ifPresent(HttpClientRequest::reset);
        }
    }
}
