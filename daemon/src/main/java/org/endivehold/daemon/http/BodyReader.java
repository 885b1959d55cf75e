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
 * Reads a request body within the limits on its size, on the time it takes, and on the daemon's byte budget.
 *
 * <p>Bytes are reserved from the budget as they arrive and stay reserved until {@link #release()}, so the budget covers
 * the body until the request has ended.
 */
final class BodyReader {
    private final Vertx vertx;
    private final HttpServerRequest request;
    private final Limits limits;
    private final ByteBudget budget;
    private final Promise<Buffer> promise = Promise.promise();
    private final Buffer body = Buffer.buffer();
    private long reservedBytes;
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
     * @return the body; fails with {@code BODY_TOO_LARGE}, {@code BODY_TIMEOUT} or {@code BUFFERS_FULL}, or with
     *     {@code BAD_REQUEST} if the caller disconnects before the end of the body
     */
    Future<Buffer> read() {
        timer = vertx.setTimer(
                limits.bodyTimeoutMillis(), id -> fail(ErrorType.BODY_TIMEOUT, limits.bodyTimeoutMillis()));
        request.exceptionHandler(e -> fail(ErrorType.BAD_REQUEST, "the caller disconnected"));
        request.handler(this::onChunk);
        request.endHandler(end -> onEnd());
        if (declaredLength() > limits.maxBodyBytes()) {
            fail(ErrorType.BODY_TOO_LARGE, limits.maxBodyBytes());
        }
        return promise.future();
    }

    /** Returns the reserved bytes to the budget; idempotent. */
    void release() {
        if (!released) {
            released = true;
            budget.release(reservedBytes);
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

    private void onChunk(Buffer chunk) {
        if (promise.future().isComplete()) {
            return;
        }
        if (body.length() + chunk.length() > limits.maxBodyBytes()) {
            fail(ErrorType.BODY_TOO_LARGE, limits.maxBodyBytes());
        } else if (!budget.tryReserve(chunk.length())) {
            fail(ErrorType.BUFFERS_FULL);
        } else {
            reservedBytes += chunk.length();
            body.appendBuffer(chunk);
        }
    }

    private void onEnd() {
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
