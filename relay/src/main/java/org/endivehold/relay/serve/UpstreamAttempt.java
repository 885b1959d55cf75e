package org.endivehold.relay.serve;

import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import java.util.function.Consumer;
import org.endivehold.http.InvalidAnswerException;

/**
 * One attempt of a request at one upstream, on a connection of its own.
 *
 * <p>Exactly one of {@code notSent}, {@code complete} and {@code broken} is reported to the listener, unless
 * {@link #cancel} comes first; nothing is reported after any of these.
 */
final class UpstreamAttempt implements EventFlow.Source {
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

    /** Size of a block after which other connections have their turn, in bytes. */
    private static final int LARGE_BLOCK_BYTES = 16 << 10;

    private final Vertx vertx;
    private final Dialect headerCodec;
    private final Consumer<AnswerFacts> headObserver;
    private final Consumer<InvalidAnswerException> invalidObserver;
    private final Listener listener;
    private HttpClientRequest request;
    private HttpClientResponse response;
    private int pauses;
    private boolean ended;

    /**
     * Creates an attempt.
     *
     * @param vertx runs the attempt
     * @param headerCodec parses the head of the response
     * @param headObserver sees the head before the listener does
     * @param invalidObserver is told if the attempt breaks off because the head is invalid
     * @param listener is notified of the progress
     */
    UpstreamAttempt(
            Vertx vertx,
            Dialect headerCodec,
            Consumer<AnswerFacts> headObserver,
            Consumer<InvalidAnswerException> invalidObserver,
            Listener listener) {
        this.vertx = vertx;
        this.headerCodec = headerCodec;
        this.headObserver = headObserver;
        this.invalidObserver = invalidObserver;
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

    @Override
    public void pause() {
        pauses++;
        if (pauses == 1 && !ended) {
            response.pause();
        }
    }

    @Override
    public void resume() {
        pauses--;
        if (pauses == 0 && !ended) {
            response.resume();
        }
    }

    private void data(Buffer bytes) {
        if (ended) {
            return;
        }
        listener.data(bytes);
        if (bytes.length() >= LARGE_BLOCK_BYTES) {
            pause();
            vertx.runOnContext(ignored -> resume());
        }
    }

    private void head(HttpClientResponse received) {
        if (ended) {
            return;
        }
        response = received;
        response.exceptionHandler(this::broken);
        response.handler(this::data);
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
        InvalidAnswerException.find(cause).ifPresent(invalidObserver);
        listener.broken(cause);
    }

    private void close() {
        if (request != null) {
            request.connection().close();
        }
    }
}
