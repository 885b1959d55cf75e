package org.endivehold.relay.serve;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.Locale;
import java.util.Map;
import org.endivehold.error.ErrorType;

/** The response to a caller's HTTP request. */
final class HttpResponseChannel implements ResponseChannel {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final HttpServerRequest request;
    private final HttpServerResponse response;

    HttpResponseChannel(HttpServerRequest request) {
        this.request = request;
        this.response = request.response();
    }

    @Override
    public void onClosed(Runnable action) {
        response.closeHandler(closed -> action.run());
        response.exceptionHandler(failure -> action.run());
    }

    @Override
    public Future<Void> respond(int status, MultiMap headers, Buffer body) {
        setHead(status, headers);
        return response.end(body);
    }

    @Override
    public void beginStream(int status, MultiMap headers) {
        setHead(status, headers);
        response.setChunked(true);
    }

    private void setHead(int status, MultiMap headers) {
        response.setStatusCode(status);
        for (Map.Entry<String, String> header : ConnectionHeaders.strip(headers)) {
            response.headers().add(header.getKey(), header.getValue());
        }
    }

    @Override
    public void writeEvents(Buffer events) {
        response.write(events);
    }

    @Override
    public void endStream() {
        response.end();
    }

    @Override
    public void breakOff() {
        request.connection().close();
    }

    @Override
    public void fail(int status, ErrorType type, double retryAfterMillis) {
        response.setStatusCode(status);
        response.putHeader("content-type", "application/json");
        if (retryAfterMillis > 0) {
            response.putHeader("retry-after", String.format(Locale.ROOT, "%.2f", retryAfterMillis / MILLIS_PER_SECOND));
        }
        response.end("{\"error\":\"" + type.label() + "\"}");
    }

    @Override
    public void fault(boolean begun) {
        if (begun) {
            breakOff();
        } else {
            fail(502, ErrorType.INTERNAL, 0);
        }
    }

    @Override
    public boolean isFull() {
        return response.writeQueueFull();
    }

    @Override
    public void onDrained(Runnable action) {
        response.drainHandler(drained -> action.run());
    }
}
