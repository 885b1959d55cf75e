package org.endivehold.daemon.http;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import org.endivehold.daemon.request.AnswerSink;
import org.endivehold.error.EndiveholdException;
import org.endivehold.upstream.StreamEnd;
import org.endivehold.upstream.StreamPiece;

/**
 * Writes an answer as server-sent events. The event id is the number of tokens up to the end of the event, so that a
 * caller can send it as {@code Last-Event-ID} to fetch the rest of the stream. A failure before the response head was
 * sent is written as a problem response, a later one as an {@code error} event.
 */
final class EventStreamSink implements AnswerSink {
    private final HttpServerResponse response;
    private final CompletionFormat format;
    private final Runnable done;
    private String pendingReattachToken;
    private boolean ended;

    EventStreamSink(HttpServerResponse response, CompletionFormat format, Runnable done) {
        this.response = response;
        this.format = format;
        this.done = done;
    }

    @Override
    public void reattachToken(String value) {
        pendingReattachToken = value;
    }

    @Override
    public void piece(StreamPiece piece) {
        if (ended || response.closed()) {
            return;
        }
        writeHeadIfNeeded();
        JsonObject data = format.chunk(piece.text());
        if (pendingReattachToken != null) {
            data.put("reattach", pendingReattachToken);
            pendingReattachToken = null;
        }
        response.write("id: " + (piece.offset() + piece.tokens()) + "\ndata: " + data.encode() + "\n\n");
    }

    @Override
    public void keepAlive() {
        if (!ended && !response.closed()) {
            writeHeadIfNeeded();
            response.write(": waiting\n\n");
        }
    }

    @Override
    public boolean isWritable() {
        return !response.writeQueueFull();
    }

    @Override
    public void onWritable(Runnable handler) {
        response.drainHandler(ignored -> handler.run());
    }

    @Override
    public void end(StreamEnd end) {
        if (ended) {
            return;
        }
        ended = true;
        writeHeadIfNeeded();
        ResponseCompletion.whenWritten(
                response.end("data: " + format.finalChunk(end).encode() + "\n\ndata: [DONE]\n\n"), done);
    }

    @Override
    public void fail(EndiveholdException failure, long retryAfterMillis) {
        if (ended) {
            return;
        }
        ended = true;
        if (!response.headWritten()) {
            ResponseCompletion.whenWritten(Problem.send(response, failure, format.request(), retryAfterMillis), done);
            return;
        }
        JsonObject document = Problem.document(failure, format.request());
        if (retryAfterMillis > 0) {
            document.put("retryAfterSeconds", Problem.toSecondsRoundedUp(retryAfterMillis));
        }
        ResponseCompletion.whenWritten(response.end("event: error\ndata: " + document.encode() + "\n\n"), done);
    }

    private void writeHeadIfNeeded() {
        if (!response.headWritten()) {
            response.setChunked(true)
                    .putHeader("Content-Type", "text/event-stream; charset=utf-8")
                    .putHeader("Cache-Control", "no-store")
                    .writeHead();
        }
    }
}
