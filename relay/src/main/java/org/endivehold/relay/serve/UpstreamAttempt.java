package org.endivehold.relay.serve;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;

/**
 * One send of a request to one upstream, on a connection of its own.
 *
 * <p>Exactly one of the listener's ends is reported, and nothing after it or after {@link #cancel}.
 */
final class UpstreamAttempt {
    /** Is told how an attempt goes. */
    interface Listener {
        /** The upstream was not reached: the request was not sent. */
        void notSent(Throwable cause);

        /** The head of the answer has come. */
        void head(AnswerFacts facts, MultiMap headers);

        /** Bytes of the answer's body have come. */
        void data(Buffer bytes);

        /** The answer is complete. */
        void complete();

        /** The request was sent, and its answer broke off or did not begin: it may have run. */
        void broken(Throwable cause);
    }

    private final Dialect dialect;
    private final Listener listener;
    private HttpClientRequest request;
    private boolean ended;

    UpstreamAttempt(Dialect dialect, Listener listener) {
        this.dialect = dialect;
        this.listener = listener;
    }

    void opened(HttpClientRequest opened, Buffer body) {
        request = opened;
        if (ended) {
            close();
            return;
        }
        request.exceptionHandler(this::broken);
        request.connection().exceptionHandler(this::broken);
        request.response().onSuccess(this::head).onFailure(this::broken);
        if (body.length() == 0) {
            request.end().onFailure(this::broken);
        } else {
            request.end(body).onFailure(this::broken);
        }
    }

    void failedToOpen(Throwable cause) {
        if (!ended) {
            ended = true;
            listener.notSent(cause);
        }
    }

    /** Ends the attempt: its connection is closed, so that the upstream stops. */
    void cancel() {
        ended = true;
        close();
    }

    boolean ended() {
        return ended;
    }

    private void head(HttpClientResponse response) {
        if (ended) {
            return;
        }
        response.exceptionHandler(this::broken);
        response.handler(bytes -> {
            if (!ended) {
                listener.data(bytes);
            }
        });
        response.endHandler(done -> complete());
        listener.head(dialect.answer(response.statusCode(), response.headers()), response.headers());
    }

    private void complete() {
        if (ended) {
            return;
        }
        ended = true;
        close();
        listener.complete();
    }

    private void broken(Throwable cause) {
        if (ended) {
            return;
        }
        ended = true;
        close();
        listener.broken(cause);
    }

    private void close() {
        if (request != null) {
            request.connection().close();
        }
    }
}
