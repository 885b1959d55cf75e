package org.endivehold.daemon.upstream;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.util.Map;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.error.RunOutcome;
import org.endivehold.http.InvalidAnswerException;
import org.endivehold.misc.UpstreamName;
import org.jboss.logging.Logger;

/** HTTP client of one upstream, for calls whose whole answer is read into memory. */
final class UpstreamHttpClient {
    private static final Logger log = Logger.getLogger(UpstreamHttpClient.class);
    private static final long MAX_ANSWER_BYTES = 16L << 20;

    private final Vertx vertx;
    private final HttpClient client;
    private final UpstreamName upstream;
    private final String address;
    private final int port;

    /**
     * A complete answer.
     *
     * @param response status and headers
     * @param body the body
     */
    record Answer(HttpClientResponse response, Buffer body) {
        int status() {
            return response.statusCode();
        }
    }

    UpstreamHttpClient(Vertx vertx, HttpClient client, UpstreamName upstream, String address, int port) {
        this.vertx = vertx;
        this.client = client;
        this.upstream = upstream;
        this.address = address;
        this.port = port;
    }

    /** Opens a connection for a request; if this fails, no byte has been sent. */
    Future<HttpClientRequest> open(HttpMethod method, String path) {
        try {
            return client.request(new RequestOptions()
                    .setHost(address)
                    .setPort(port)
                    .setMethod(method)
                    .setURI(path));
        } catch (IllegalStateException e) {
            // A closed client throws instead of returning a failed future.
            return Future.failedFuture(e);
        }
    }

    /**
     * Makes a call.
     *
     * @param method HTTP method
     * @param path path with query
     * @param headers headers to send
     * @param body the body
     * @param timeoutMillis timeout of the whole call, in milliseconds
     * @return the answer, whatever its status; fails with {@code UPSTREAM_UNREACHABLE} if no connection could be
     *     opened, with {@code UPSTREAM_TIMEOUT} after the timeout, and with {@code UPSTREAM_BROKEN} or
     *     {@code UPSTREAM_PROTOCOL} otherwise; the run outcome is {@code NO} before a connection is open,
     *     {@code UNKNOWN} after it
     */
    Future<Answer> call(HttpMethod method, String path, Map<String, String> headers, Buffer body, long timeoutMillis) {
        Promise<Answer> promise = Promise.promise();
        Exchange exchange = new Exchange(promise, timeoutMillis);
        open(method, path)
                .onSuccess(request -> {
                    headers.forEach(request::putHeader);
                    exchange.send(request, body);
                })
                .onFailure(cause -> exchange.fail(
                        new EndiveholdException(ErrorType.UPSTREAM_UNREACHABLE, upstream).causedBy(cause)));
        return promise.future();
    }

    /**
     * Makes a call that serves no request of a caller, and logs an invalid answer to it.
     *
     * @param method HTTP method
     * @param path path with query
     * @param body the body
     * @param timeoutMillis timeout of the whole call, in milliseconds
     * @return as for {@link #call}
     */
    Future<Answer> controlCall(HttpMethod method, String path, Buffer body, long timeoutMillis) {
        return call(method, path, Map.of(), body, timeoutMillis)
                .onFailure(failure -> InvalidAnswerException.find(failure)
                        .ifPresent(invalid -> invalid.event(null, upstream).warn(log)));
    }

    /** One call in progress; the first of answer, failure and timeout completes it. */
    private final class Exchange {
        private final Promise<Answer> promise;
        private final long timer;
        private HttpClientRequest request;

        Exchange(Promise<Answer> promise, long timeoutMillis) {
            this.promise = promise;
            timer = vertx.setTimer(Math.max(1, timeoutMillis), ignored -> timeout(timeoutMillis));
        }

        void send(HttpClientRequest opened, Buffer body) {
            if (promise.future().isComplete()) {
                opened.reset();
                return;
            }
            request = opened;
            opened.send(body).compose(this::read).onSuccess(this::succeed).onFailure(this::failBroken);
        }

        private Future<Answer> read(HttpClientResponse response) {
            Promise<Answer> answer = Promise.promise();
            Buffer body = Buffer.buffer();
            response.handler(chunk -> {
                body.appendBuffer(chunk);
                if (body.length() > MAX_ANSWER_BYTES) {
                    answer.tryFail(new EndiveholdException(
                            RunOutcome.UNKNOWN, ErrorType.UPSTREAM_PROTOCOL, upstream, "the answer is too large"));
                }
            });
            response.endHandler(ignored -> answer.tryComplete(new Answer(response, body)));
            response.exceptionHandler(answer::tryFail);
            return answer.future();
        }

        private void timeout(long timeoutMillis) {
            RunOutcome run = request == null ? RunOutcome.NO : RunOutcome.UNKNOWN;
            fail(new EndiveholdException(run, ErrorType.UPSTREAM_TIMEOUT, upstream, timeoutMillis));
        }

        private void failBroken(Throwable cause) {
            boolean invalid = InvalidAnswerException.find(cause).isPresent();
            if (!invalid && cause instanceof EndiveholdException typed) {
                fail(typed);
            } else {
                fail(new EndiveholdException(RunOutcome.UNKNOWN, ErrorType.UPSTREAM_BROKEN, upstream).causedBy(cause));
            }
        }

        private void succeed(Answer answer) {
            vertx.cancelTimer(timer);
            promise.tryComplete(answer);
        }

        void fail(EndiveholdException failure) {
            vertx.cancelTimer(timer);
            if (promise.tryFail(failure) && request != null) {
                request.reset();
            }
        }
    }
}
