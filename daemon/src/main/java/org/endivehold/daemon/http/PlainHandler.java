package org.endivehold.daemon.http;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.endivehold.config.Route;
import org.endivehold.daemon.DaemonContext;
import org.endivehold.daemon.request.PlainRequest;
import org.endivehold.daemon.request.PlainRunner;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.upstream.PlainAnswer;
import org.endivehold.upstream.PlainCall;

/** Serves calls to plain routes. */
final class PlainHandler {
    /** Header with the caller's key for at-most-once execution. */
    static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    private static final int MAX_KEY_LENGTH = 255;
    private static final long UNAVAILABLE_RETRY_MILLIS = 5_000;
    private static final Set<String> PASSED_ON = Set.of("accept", "accept-language", "content-type", "user-agent");
    private static final Set<String> PASSED_BACK =
            Set.of("content-type", "content-language", "etag", "last-modified", "location", "cache-control");

    private final DaemonContext context;
    private final PlainRunner runner;

    PlainHandler(DaemonContext context, PlainRunner runner) {
        this.context = context;
        this.runner = runner;
    }

    /**
     * Serves a call.
     *
     * @param exchange the request
     * @param route the route that its path matches
     * @param done runs when the exchange has ended
     */
    void call(Exchange exchange, Route route, Runnable done) {
        exchange.body()
                .read()
                .compose(body -> {
                    try {
                        return runner.submit(request(exchange, route, body));
                    } catch (EndiveholdException e) {
                        return Future.failedFuture(e);
                    }
                })
                .compose(
                        answer -> send(exchange, answer),
                        failure -> refuse(exchange, EndiveholdException.unwrap(failure)))
                .onComplete(ended -> done.run());
    }

    private PlainRequest request(Exchange exchange, Route route, Buffer body) throws EndiveholdException {
        HttpServerRequest http = exchange.http();
        Optional<String> key = Optional.ofNullable(http.getHeader(IDEMPOTENCY_KEY));
        if (key.isEmpty() && !route.idempotent()) {
            throw new EndiveholdException(ErrorType.IDEMPOTENCY_KEY_REQUIRED);
        }
        if (key.isPresent() && (key.get().isBlank() || key.get().length() > MAX_KEY_LENGTH)) {
            throw new EndiveholdException(
                    ErrorType.BAD_REQUEST, IDEMPOTENCY_KEY + " must have 1 to " + MAX_KEY_LENGTH + " characters");
        }
        long deadlineAt = exchange.arrivedAt() + Deadline.millis(http.getHeader(Deadline.HEADER), route);
        long left = Math.max(1, deadlineAt - context.ticker().millis());
        PlainCall call = new PlainCall(http.method().name(), http.uri(), headers(http), body.getBytes(), left);
        return new PlainRequest(exchange.id(), exchange.customer().name(), route, call, key, deadlineAt);
    }

    private static Map<String, String> headers(HttpServerRequest http) {
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String name : PASSED_ON) {
            String value = http.getHeader(name);
            if (value != null) {
                headers.put(name, value);
            }
        }
        return headers;
    }

    private static Future<Void> send(Exchange exchange, PlainAnswer answer) {
        if (exchange.response().closed()) {
            return Future.succeededFuture();
        }
        answer.headers().forEach((name, value) -> {
            if (PASSED_BACK.contains(name.toLowerCase(java.util.Locale.ROOT))) {
                exchange.response().putHeader(name, value);
            }
        });
        return exchange.response().setStatusCode(answer.status()).end(Buffer.buffer(answer.body()));
    }

    private static Future<Void> refuse(Exchange exchange, EndiveholdException failure) {
        boolean later = HttpStatus.of(failure.type()) == HttpStatus.UNAVAILABLE;
        return Problem.send(exchange.response(), failure, exchange.id(), later ? UNAVAILABLE_RETRY_MILLIS : 0);
    }
}
