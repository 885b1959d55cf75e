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
        if (finish() && !response.closed()) {
            response.putHeader("Content-Type", "application/json")
                    .end(form.whole(text.toString(), end).toBuffer());
        }
    }

    @Override
    public void fail(EndiveholdException failure, long retryAfterMillis) {
        if (finish()) {
            Problem.send(response, failure, form.request(), retryAfterMillis);
        }
    }

    private boolean finish() {
        if (ended) {
            return false;
        }
        ended = true;
        done.run();
        return true;
    }
}
