package org.endivehold.daemon.entry;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.net.SocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** An upstream that answers plain requests after some milliseconds and generates streams of some events. */
final class TestUpstream {
    static final int EVENTS = 40;

    private static final int LIMIT_SECONDS = 10;
    private static final int PLAIN_MILLIS = 5;
    private static final int EVENT_MILLIS = 15;

    private final Vertx vertx;
    private final HttpServer server;
    private final Map<String, Integer> runs = new ConcurrentHashMap<>();

    TestUpstream(Vertx vertx) throws Exception {
        this.vertx = vertx;
        server = vertx.createHttpServer()
                .requestHandler(request -> request.body().onSuccess(body -> serve(request)))
                .listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .get(LIMIT_SECONDS, TimeUnit.SECONDS);
    }

    SocketAddress address() {
        return SocketAddress.inetSocketAddress(server.actualPort(), "127.0.0.1");
    }

    /** Returns how often each request was run here, by its attempt id. */
    Map<String, Integer> runs() {
        return runs;
    }

    private void serve(HttpServerRequest request) {
        String attempt = request.getHeader(TestDialect.ATTEMPT);
        runs.merge(attempt, 1, Integer::sum);
        request.response().putHeader(TestDialect.ATTEMPT, attempt).putHeader(TestDialect.SEAL, "s");
        if (request.getHeader(TestDialect.PROMPT) == null) {
            vertx.setTimer(PLAIN_MILLIS, timer -> request.response().end("answer " + attempt));
            return;
        }
        String after = request.getHeader(TestDialect.LAST_EVENT);
        request.response().setChunked(true);
        sendEvents(request, after == null ? 1 : Integer.parseInt(after) + 1);
    }

    private void sendEvents(HttpServerRequest request, int number) {
        vertx.setTimer(EVENT_MILLIS, timer -> {
            String event = "id: " + number + "\ndata: x\n\n";
            if (number < EVENTS) {
                request.response().write(event).onSuccess(sent -> sendEvents(request, number + 1));
            } else {
                request.response().end(event);
            }
        });
    }
}
