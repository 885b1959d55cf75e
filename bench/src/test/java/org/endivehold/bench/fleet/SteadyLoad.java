package org.endivehold.bench.fleet;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.endivehold.error.EndiveholdException;

/** Closed-loop callers: each sends one short prompt after another until its port is removed. */
final class SteadyLoad implements AutoCloseable {
    private static final String KEY = "example-key-rota-office";
    private static final String ROUTE = "rota-drafts";
    private static final long RETRY_MILLIS = 50;
    private static final int OK = 200;

    private final Vertx vertx = Vertx.vertx();
    private final HttpClient client = vertx.createHttpClient();
    private final Set<Integer> ports = ConcurrentHashMap.newKeySet();
    private final AtomicLong answered = new AtomicLong();
    private final AtomicLong untrueRefusals = new AtomicLong();
    private final Buffer body = new JsonObject()
            .put("model", ROUTE)
            .put("prompt", "keeper rota ".repeat(20))
            .put("max_tokens", 8)
            .toBuffer();

    void add(int port, int callers) {
        ports.add(port);
        for (int i = 0; i < callers; i++) {
            call(port);
        }
    }

    void remove(int port) {
        ports.remove(port);
    }

    long answered() {
        return answered.get();
    }

    /** Returns the number of error responses that do not state whether the request ran. */
    long untrueRefusals() {
        return untrueRefusals.get();
    }

    @Override
    public void close() throws EndiveholdException {
        ports.clear();
        Waiting.on(vertx.close());
    }

    private void call(int port) {
        if (!ports.contains(port)) {
            return;
        }
        client.request(HttpMethod.POST, port, "127.0.0.1", "/v1/completions")
                .compose(request ->
                        request.putHeader("Authorization", "Bearer " + KEY).send(body))
                .compose(response -> response.body().map(text -> count(response.statusCode(), text)))
                .onComplete(done -> {
                    if (done.succeeded() && done.result()) {
                        call(port);
                    } else {
                        vertx.setTimer(RETRY_MILLIS, timer -> call(port));
                    }
                });
    }

    private boolean count(int status, Buffer text) {
        if (status == OK) {
            answered.incrementAndGet();
        } else if (!text.toString().contains("\"run\"")) {
            untrueRefusals.incrementAndGet();
        }
        return status == OK;
    }
}
