package org.endivehold.daemon.http;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import org.endivehold.daemon.settings.Settings.Limits;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;

/**
 * Reads one body within bounds of size, time and the daemon's byte budget.
 *
 * <p>Bytes are charged to the budget as they arrive; the reader keeps the charge until {@link #release()}, so the
 * budget covers the body for as long as the request lives.
 */
final class BodyReader {
    private final Vertx vertx;
    private final HttpServerRequest request;
    private final Limits limits;
    private final ByteBudget budget;
    private final Promise<Buffer> promise = Promise.promise();
    private final Buffer body = Buffer.buffer();
    private long charged;
    private long timer;
    private boolean released;

    BodyReader(Vertx vertx, HttpServerRequest request, Limits limits, ByteBudget budget) {
        this.vertx = vertx;
        this.request = request;
        this.limits = limits;
        this.budget = budget;
    }

    /**
     * Starts reading.
     *
     * @return the body; fails with {@code BODY_TOO_LARGE}, {@code BODY_TIMEOUT}, {@code BUFFERS_FULL} or
     *     {@code BAD_REQUEST} if the caller breaks off
     */
    Future<Buffer> read() {
        timer = vertx.setTimer(
                limits.bodyTimeoutMillis(), id -> fail(ErrorType.BODY_TIMEOUT, limits.bodyTimeoutMillis()));
        request.exceptionHandler(e -> fail(ErrorType.BAD_REQUEST, "the caller broke off"));
        request.handler(this::chunk);
        request.endHandler(end -> finish());
        if (declaredLength() > limits.maxBodyBytes()) {
            fail(ErrorType.BODY_TOO_LARGE, limits.maxBodyBytes());
        }
        return promise.future();
    }

    /** Gives the charged bytes back; idempotent. */
    void release() {
        if (!released) {
            released = true;
            budget.give(charged);
        }
    }

    private long declaredLength() {
        String length = request.getHeader("Content-Length");
        try {
            return length == null ? 0 : Long.parseLong(length);
        } catch (NumberFormatException e) {
            return Long.MAX_VALUE;
        }
    }

    private void chunk(Buffer chunk) {
        if (promise.future().isComplete()) {
            return;
        }
        if (body.length() + chunk.length() > limits.maxBodyBytes()) {
            fail(ErrorType.BODY_TOO_LARGE, limits.maxBodyBytes());
        } else if (!budget.take(chunk.length())) {
            fail(ErrorType.BUFFERS_FULL);
        } else {
            charged += chunk.length();
            body.appendBuffer(chunk);
        }
    }

    private void finish() {
        vertx.cancelTimer(timer);
        promise.tryComplete(body);
    }

    private void fail(ErrorType type, Object... args) {
        vertx.cancelTimer(timer);
        if (promise.tryFail(new EndiveholdException(type, args))) {
            release();
        }
    }
}
