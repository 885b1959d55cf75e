package org.endivehold.daemon.http;

import io.vertx.core.http.HttpServerResponse;
import org.endivehold.daemon.request.AnswerSink;
import org.endivehold.error.EndiveholdException;
import org.endivehold.upstream.StreamEnd;
import org.endivehold.upstream.StreamPiece;

/** Collects an answer and writes it as one response. The length is bounded by the request's longest answer. */
final class WholeAnswerSink implements AnswerSink {
    private final HttpServerResponse response;
    private final AnswerForm form;
    private final Runnable done;
    private final StringBuilder text = new StringBuilder();
    private boolean ended;

    WholeAnswerSink(HttpServerResponse response, AnswerForm form, Runnable done) {
        this.response = response;
        this.form = form;
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
            Ending.after(response.end(form.whole(text.toString(), end).toBuffer()), done);
        }
    }

    @Override
    public void fail(EndiveholdException failure, long retryAfterMillis) {
        if (!ended) {
            ended = true;
            Ending.after(Problem.send(response, failure, form.request(), retryAfterMillis), done);
        }
    }
}
