package org.endivehold.daemon.platform;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonObject;
import java.util.List;
import org.endivehold.daemon.settings.Settings;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.http.HttpClients;
import org.endivehold.http.InvalidAnswerException;
import org.jboss.logging.Logger;

/**
 * HTTP client of the key-value service: posts JSON to its endpoints, each call with a timeout and a typed outcome.
 *
 * <p>Endpoints are tried in turn until a connection is open, so a failure before that means that nothing was sent.
 * After that, the call is not retried here: without an answer, the outcome of a call that may write is unknown, and a
 * call that only reads fails as unavailable.
 */
final class EtcdClient {
    private static final Logger log = Logger.getLogger(EtcdClient.class);
    private static final int MAX_ANSWER_BYTES = 64 * 1024 * 1024;
    private static final int MAX_CONNECTIONS_PER_ENDPOINT = 32;
    private static final int MAX_QUEUED_CALLS_PER_ENDPOINT = 4_096;

    private final Vertx vertx;
    private final Settings.Store settings;
    private final HttpClient client;
    private int preferredEndpoint;

    EtcdClient(Vertx vertx, Settings.Store settings) {
        this.vertx = vertx;
        this.settings = settings;
        HttpClientOptions options = new HttpClientOptions()
                .setConnectTimeout((int) settings.timeoutMillis())
                .setTcpKeepAlive(true)
                .setMaxRedirects(0);
        PoolOptions pool = new PoolOptions()
                .setHttp1MaxSize(MAX_CONNECTIONS_PER_ENDPOINT)
                .setMaxWaitQueueSize(MAX_QUEUED_CALLS_PER_ENDPOINT);
        client = HttpClients.create(vertx, options, pool);
    }

    Future<Void> close() {
        return client.close();
    }

    /** Makes a call that changes nothing; without an answer it fails with {@code STORE_UNAVAILABLE}. */
    Future<JsonObject> read(String path, JsonObject body) {
        return new Call(path, body, false).run();
    }

    /** Makes a call that may change something; fails with {@code STORE_UNKNOWN} if it was sent and not answered. */
    Future<JsonObject> write(String path, JsonObject body) {
        return new Call(path, body, true).run();
    }

    /** Opens a streamed answer without a timeout; the caller has to close it. */
    Future<HttpClientResponse> stream(String path, JsonObject body) {
        return client.request(options(path, preferredEndpoint))
                .onFailure(failure -> preferEndpointAfter(preferredEndpoint))
                .compose(request -> request.send(body.toBuffer()))
                .onFailure(EtcdClient::logInvalid);
    }

    private static void logInvalid(Throwable failure) {
        InvalidAnswerException.find(failure)
                .ifPresent(invalid -> invalid.event(null, "key-value service").warn(log));
    }

    private RequestOptions options(String path, int endpoint) {
        List<String> endpoints = settings.endpoints();
        return new RequestOptions()
                .setMethod(HttpMethod.POST)
                .setAbsoluteURI(endpoints.get(endpoint % endpoints.size()) + path)
                .putHeader("content-type", "application/json");
    }

    /** Moves the preference to the next endpoint, unless another call has moved it already. */
    private void preferEndpointAfter(int failed) {
        if (preferredEndpoint == failed) {
            preferredEndpoint = (failed + 1) % settings.endpoints().size();
        }
    }

    /** One call with its timeout. */
    private final class Call {
        private final String path;
        private final Buffer body;
        private final boolean mayWrite;
        private final Promise<JsonObject> promise = Promise.promise();
        private HttpClientRequest request;
        private boolean sent;

        Call(String path, JsonObject body, boolean mayWrite) {
            this.path = path;
            this.body = body.toBuffer();
            this.mayWrite = mayWrite;
        }

        Future<JsonObject> run() {
            long timer = vertx.setTimer(settings.timeoutMillis(), id -> {
                failUnanswered("no answer within " + settings.timeoutMillis() + " ms");
                if (request != null) {
                    request.reset();
                }
            });
            attempt(preferredEndpoint, 1);
            return promise.future().onComplete(done -> vertx.cancelTimer(timer));
        }

        private void attempt(int endpoint, int attempts) {
            client.request(options(path, endpoint)).onComplete(opened -> {
                if (promise.future().isComplete()) {
                    if (opened.succeeded()) {
                        opened.result().reset();
                    }
                } else if (opened.succeeded()) {
                    send(opened.result(), endpoint);
                } else {
                    preferEndpointAfter(endpoint);
                    if (attempts < settings.endpoints().size()) {
                        attempt((endpoint + 1) % settings.endpoints().size(), attempts + 1);
                    } else {
                        failUnanswered(String.valueOf(opened.cause().getMessage()));
                    }
                }
            });
        }

        private void send(HttpClientRequest opened, int endpoint) {
            request = opened;
            sent = true;
            opened.send(body).compose(this::readBody).onFailure(failure -> {
                logInvalid(failure);
                preferEndpointAfter(endpoint);
                failUnanswered(String.valueOf(failure.getMessage()));
            });
        }

        private Future<Void> readBody(HttpClientResponse response) {
            Buffer answer = Buffer.buffer();
            Promise<Void> ended = Promise.promise();
            response.exceptionHandler(ended::tryFail);
            response.handler(piece -> {
                answer.appendBuffer(piece);
                if (answer.length() > MAX_ANSWER_BYTES) {
                    request.reset();
                    ended.tryFail("the answer is too large");
                }
            });
            response.endHandler(end -> {
                handleAnswer(response.statusCode(), answer);
                ended.tryComplete();
            });
            return ended.future();
        }

        private void handleAnswer(int status, Buffer answer) {
            if (status != 200) {
                promise.tryFail(EtcdErrors.of(status, answer, mayWrite));
                return;
            }
            try {
                promise.tryComplete(firstDocument(answer));
            } catch (RuntimeException e) {
                failUnanswered("the answer is not JSON");
            }
        }

        /** Fails the call with the outcome of a call without a usable answer. */
        private void failUnanswered(String reason) {
            ErrorType type = sent && mayWrite ? ErrorType.STORE_UNKNOWN : ErrorType.STORE_UNAVAILABLE;
            promise.tryFail(new EndiveholdException(type, reason));
        }
    }

    /** Parses the first line: calls that stream answer with one JSON document per line. */
    private static JsonObject firstDocument(Buffer answer) {
        String text = answer.toString().strip();
        int end = text.indexOf('\n');
        return new JsonObject(end < 0 ? text : text.substring(0, end));
    }
}
