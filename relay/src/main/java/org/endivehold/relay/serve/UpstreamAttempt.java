package org.endivehold.relay.serve;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import java.util.function.Consumer;

/**
 * One attempt of a request at one upstream, on a connection of its own.
 *
 * <p>Exactly one of {@code notSent}, {@code complete} and {@code broken} is reported to the listener, unless
 * {@link #cancel} comes first; nothing is reported after any of these.
 */
final class UpstreamAttempt {
    /** Is notified of an attempt's progress. */
    interface Listener {
        /** No connection to the upstream could be opened; the request was not sent. */
        void notSent(Throwable cause);

        /** Status and headers of the response have arrived. */
        void head(AnswerFacts head, MultiMap headers);

        /** Bytes of the response body have arrived. */
        void data(Buffer bytes);

        /** The response is complete. */
        void complete();

        /** Sending failed, or the response did not begin or broke off; the request may have run. */
        void broken(Throwable cause);
    }

    private final Dialect headerCodec;
    private final Consumer<AnswerFacts> headObserver;
    private final Listener listener;
    private HttpClientRequest request;
    private boolean ended;

    /** Creates an attempt; {@code headObserver} sees the head of the response before the listener does. */
    UpstreamAttempt(Dialect headerCodec, Consumer<AnswerFacts> headObserver, Listener listener) {
        this.headerCodec = headerCodec;
        this.headObserver = headObserver;
        this.listener = listener;
    }

    void opened(HttpClientRequest openedRequest, Buffer body) {
        request = openedRequest;
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

    /** Ends the attempt and closes its connection, which makes the upstream stop. */
    void cancel() {
        ended = true;
        close();
    }

    boolean ended() {
        return ended;
    }

    /** Returns whether a connection was opened; if not, nothing of the request has been sent. */
    boolean isOpened() {
        return request != null;
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
        AnswerFacts head = headerCodec.parseResponse(response.statusCode(), response.headers());
        headObserver.accept(head);
        listener.head(head, response.headers());
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
