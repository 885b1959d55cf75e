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

/**
 * Posts JSON to the endpoints of the key-value service, each call with a time limit and a typed outcome.
 *
 * <p>Endpoints are tried in turn while none has taken a byte of the call. From the first byte on, a call that may write
 * and gets no answer has an unknown outcome and is not sent again here. A call that only reads fails as unavailable.
 */
final class EtcdCaller {
    private static final int MAX_ANSWER_BYTES = 64 * 1024 * 1024;
    private static final int MAX_CONNECTIONS = 32;
    private static final int MAX_WAITING = 4_096;

    private final Vertx vertx;
    private final Settings.Store settings;
    private final HttpClient client;
    private int preferred;

    EtcdCaller(Vertx vertx, Settings.Store settings) {
        this.vertx = vertx;
        this.settings = settings;
        HttpClientOptions options = new HttpClientOptions()
                .setConnectTimeout((int) settings.timeoutMillis())
                .setTcpKeepAlive(true)
                .setMaxRedirects(0);
        PoolOptions pool = new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS).setMaxWaitQueueSize(MAX_WAITING);
        client = vertx.createHttpClient(options, pool);
    }

    Future<Void> close() {
        return client.close();
    }

    /** Makes a call that changes nothing. */
    Future<JsonObject> read(String path, JsonObject body) {
        return new Call(path, body, false).run();
    }

    /** Makes a call that may change something. */
    Future<JsonObject> write(String path, JsonObject body) {
        return new Call(path, body, true).run();
    }

    /** Opens a streamed answer; the caller handles the rest of its life. */
    Future<HttpClientResponse> stream(String path, JsonObject body) {
        return client.request(options(path, preferred))
                .onFailure(failure -> advance(preferred))
                .compose(request -> request.send(body.toBuffer()));
    }

    private RequestOptions options(String path, int endpoint) {
        List<String> endpoints = settings.endpoints();
        return new RequestOptions()
                .setMethod(HttpMethod.POST)
                .setAbsoluteURI(endpoints.get(endpoint % endpoints.size()) + path)
                .putHeader("content-type", "application/json");
    }

    private void advance(int failed) {
        if (preferred == failed) {
            preferred = (failed + 1) % settings.endpoints().size();
        }
    }

    /** One call with its time limit. */
    private final class Call {
        private final String path;
        private final Buffer body;
        private final boolean writes;
        private final Promise<JsonObject> promise = Promise.promise();
        private HttpClientRequest request;
        private boolean sent;

        Call(String path, JsonObject body, boolean writes) {
            this.path = path;
            this.body = body.toBuffer();
            this.writes = writes;
        }

        Future<JsonObject> run() {
            long timer = vertx.setTimer(settings.timeoutMillis(), id -> {
                broken("no answer within " + settings.timeoutMillis() + " ms");
                if (request != null) {
                    request.reset();
                }
            });
            attempt(preferred, 1);
            return promise.future().onComplete(done -> vertx.cancelTimer(timer));
        }

        private void attempt(int endpoint, int number) {
            client.request(options(path, endpoint)).onComplete(opened -> {
                if (promise.future().isComplete()) {
                    if (opened.succeeded()) {
                        opened.result().reset();
                    }
                } else if (opened.succeeded()) {
                    send(opened.result(), endpoint);
                } else {
                    advance(endpoint);
                    if (number < settings.endpoints().size()) {
                        attempt((endpoint + 1) % settings.endpoints().size(), number + 1);
                    } else {
                        broken(String.valueOf(opened.cause().getMessage()));
                    }
                }
            });
        }

        private void send(HttpClientRequest opened, int endpoint) {
            request = opened;
            sent = true;
            opened.send(body).compose(this::collect).onFailure(failure -> {
                advance(endpoint);
                broken(String.valueOf(failure.getMessage()));
            });
        }

        private Future<Void> collect(HttpClientResponse response) {
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
                answered(response.statusCode(), answer);
                ended.tryComplete();
            });
            return ended.future();
        }

        private void answered(int status, Buffer answer) {
            if (status != 200) {
                promise.tryFail(EtcdRefusal.of(status, answer, writes));
                return;
            }
            try {
                promise.tryComplete(firstDocument(answer));
            } catch (RuntimeException e) {
                broken("the answer is not JSON");
            }
        }

        private void broken(String reason) {
            ErrorType type = sent && writes ? ErrorType.STORE_UNKNOWN : ErrorType.STORE_UNAVAILABLE;
            promise.tryFail(new EndiveholdException(type, reason));
        }
    }

    /** Streamed calls answer with one document a line, of which the first is wanted. */
    private static JsonObject firstDocument(Buffer answer) {
        String text = answer.toString().strip();
        int end = text.indexOf('\n');
        return new JsonObject(end < 0 ? text : text.substring(0, end));
    }
}
