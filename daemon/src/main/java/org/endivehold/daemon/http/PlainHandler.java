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
import org.endivehold.daemon.upstream.InvalidAnswers;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.http.HeadRules;
import org.endivehold.http.InvalidAnswerException;
import org.endivehold.upstream.PlainAnswer;
import org.endivehold.upstream.PlainCall;

/** Serves requests to plain routes, which forward an HTTP call to an upstream. */
final class PlainHandler {
    /** Request header with the key under which the call is executed at most once. */
    static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    private static final int MAX_KEY_LENGTH = 255;
    private static final long UNAVAILABLE_RETRY_AFTER_MILLIS = 5_000;
    private static final Set<String> FORWARDED_REQUEST_HEADERS =
            Set.of("accept", "accept-language", "content-type", "user-agent");
    private static final Set<String> FORWARDED_RESPONSE_HEADERS =
            Set.of("content-type", "content-language", "etag", "last-modified", "location", "cache-control");

    private final DaemonContext context;
    private final PlainRunner runner;

    PlainHandler(DaemonContext context, PlainRunner runner) {
        this.context = context;
        this.runner = runner;
    }

    /**
     * Forwards a request and writes the answer.
     *
     * @param exchange the request
     * @param route the route that matches its path
     * @param done called when the exchange has ended
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
                        failure -> sendError(exchange, EndiveholdException.unwrap(failure)))
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
        long deadlineAt = exchange.arrivedAtMillis() + Deadline.millis(http.getHeader(Deadline.HEADER), route);
        long remainingMillis = Math.max(1, deadlineAt - context.ticker().millis());
        PlainCall call =
                new PlainCall(http.method().name(), http.uri(), headers(http), body.getBytes(), remainingMillis);
        return new PlainRequest(exchange.id(), exchange.customer().name(), route, call, key, deadlineAt);
    }

    private static Map<String, String> headers(HttpServerRequest http) {
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String name : FORWARDED_REQUEST_HEADERS) {
            String value = http.getHeader(name);
            if (value != null) {
                headers.put(name, value);
            }
        }
        return headers;
    }

    private Future<Void> send(Exchange exchange, PlainAnswer answer) {
        if (exchange.response().closed()) {
            return Future.succeededFuture();
        }
        Optional<InvalidAnswerException> violation =
                HeadRules.violation(answer.status(), answer.headers().entrySet());
        if (violation.isPresent()) {
            // An older version may have recorded it, as the answer to an earlier call with this key.
            InvalidAnswers.report(context, exchange.id(), "response", violation.get());
            return sendError(exchange, violation.get());
        }
        answer.headers().forEach((name, value) -> {
            if (FORWARDED_RESPONSE_HEADERS.contains(name.toLowerCase(java.util.Locale.ROOT))) {
                exchange.response().putHeader(name, value);
            }
        });
        return exchange.response().setStatusCode(answer.status()).end(Buffer.buffer(answer.body()));
    }

    private static Future<Void> sendError(Exchange exchange, EndiveholdException failure) {
        boolean unavailable = HttpStatus.of(failure.type()) == HttpStatus.UNAVAILABLE;
        return Problem.send(
                exchange.response(), failure, exchange.id(), unavailable ? UNAVAILABLE_RETRY_AFTER_MILLIS : 0);
    }
}
