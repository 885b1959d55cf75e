package org.endivehold.daemon.http;

import io.vertx.core.http.HttpServerResponse;
import org.endivehold.daemon.request.AnswerSink;
import org.endivehold.error.EndiveholdException;
import org.endivehold.upstream.StreamEnd;
import org.endivehold.upstream.StreamPiece;

/** Buffers a whole answer and writes it as one response. The buffer is bounded by the request's token limit. */
final class BufferedAnswerSink implements AnswerSink {
    private final HttpServerResponse response;
    private final CompletionFormat format;
    private final Runnable done;
    private final StringBuilder text = new StringBuilder();
    private boolean ended;

    BufferedAnswerSink(HttpServerResponse response, CompletionFormat format, Runnable done) {
        this.response = response;
        this.format = format;
        this.done = done;
    }

    @Override
    public void piece(StreamPiece piece) {
        text.append(piece.text());
    }

    @Override
    public void end(StreamEnd end) {
        if (!ended) {
            ended = true;
            response.putHeader("Content-Type", "application/json");
            ResponseCompletion.whenWritten(
                    response.end(format.fullResponse(text.toString(), end).toBuffer()), done);
        }
    }

    @Override
    public void fail(EndiveholdException failure, long retryAfterMillis) {
        if (!ended) {
            ended = true;
            ResponseCompletion.whenWritten(Problem.send(response, failure, format.request(), retryAfterMillis), done);
        }
    }
}
