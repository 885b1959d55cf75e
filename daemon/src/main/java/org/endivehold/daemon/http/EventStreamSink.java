package org.endivehold.daemon.http;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import org.endivehold.daemon.request.AnswerSink;
import org.endivehold.error.EndiveholdException;
import org.endivehold.upstream.StreamEnd;
import org.endivehold.upstream.StreamPiece;

/**
 * Writes an answer as server-sent events. The event id is the number of tokens up to the end of the event, so that a
 * caller can give it as {@code Last-Event-ID} when it fetches the rest. A failure before the first byte is a whole
 * problem response; a later one is an event {@code error}.
 */
final class EventStreamSink implements AnswerSink {
    private final HttpServerResponse response;
    private final AnswerForm form;
    private final Runnable done;
    private String token;
    private boolean ended;

    EventStreamSink(HttpServerResponse response, AnswerForm form, Runnable done) {
        this.response = response;
        this.form = form;
        this.done = done;
    }

    @Override
    public void reattachToken(String value) {
        token = value;
    }

    @Override
    public void piece(StreamPiece piece) {
        if (ended || response.closed()) {
            return;
        }
        begin();
        JsonObject data = form.piece(piece.text());
        if (token != null) {
            data.put("reattach", token);
            token = null;
        }
        response.write("id: " + (piece.offset() + piece.tokens()) + "\ndata: " + data.encode() + "\n\n");
    }

    @Override
    public void keepAlive() {
        if (!ended && !response.closed()) {
            begin();
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
        begin();
        Ending.after(response.end("data: " + form.last(end).encode() + "\n\ndata: [DONE]\n\n"), done);
    }

    @Override
    public void fail(EndiveholdException failure, long retryAfterMillis) {
        if (ended) {
            return;
        }
        ended = true;
        if (!response.headWritten()) {
            Ending.after(Problem.send(response, failure, form.request(), retryAfterMillis), done);
            return;
        }
        JsonObject document = Problem.document(failure, form.request());
        if (retryAfterMillis > 0) {
            document.put("retryAfterSeconds", Problem.secondsUp(retryAfterMillis));
        }
        Ending.after(response.end("event: error\ndata: " + document.encode() + "\n\n"), done);
    }

    private void begin() {
        if (!response.headWritten()) {
            response.setChunked(true)
                    .putHeader("Content-Type", "text/event-stream; charset=utf-8")
                    .putHeader("Cache-Control", "no-store")
                    .writeHead();
        }
    }
}
