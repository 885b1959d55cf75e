package org.endivehold.standin.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.endivehold.standin.http.HttpStandin;
import org.endivehold.standin.log.StandinLog;
import org.endivehold.upstream.protocol.ProtocolJson;

/**
 * A stand-in for the key-value service, with ranges, transactions, leases and watches in the format of etcd's JSON
 * gateway. {@code GET /calls} returns the {@link StoreCalls}.
 */
public final class StoreStandin extends HttpStandin<StoreFaults> {
    private static final int MAX_BODY_BYTES = 1_600_000;
    // Status codes of gRPC, which the gateway writes into error bodies.
    private static final int CODE_NOT_FOUND = 5;
    private static final int CODE_INVALID = 3;
    private static final long EXPIRY_PERIOD_MILLIS = 50;
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final String CALLS_PATH = "/calls";
    private static final String WATCH_PATH = "/v3/watch";
    private static final JsonNodeFactory JSON = JsonNodeFactory.instance;

    private final StoreModel model = new StoreModel(this::changed);
    private final Map<HttpServerRequest, JsonNode> watches = new HashMap<>();
    private final List<StoreModel.Change> unsentChanges = new ArrayList<>();
    private volatile StoreCalls calls = StoreCalls.NONE;
    private long writes;

    /**
     * Creates a service without keys.
     *
     * @param port TCP port; 0 for any free one
     * @param log log that {@code GET /log} returns
     */
    public StoreStandin(int port, StandinLog log) {
        super(port, StoreFaults.NONE, StoreFaults.class, log);
    }

    @Override
    public Future<?> start() {
        vertx.setPeriodic(EXPIRY_PERIOD_MILLIS, ignored -> {
            model.expire(now());
            notifyWatches();
        });
        return super.start();
    }

    /**
     * Returns how many calls the service has received; may be called from any thread.
     *
     * @return counts since creation
     */
    public StoreCalls calls() {
        return calls;
    }

    /**
     * Returns the base URL of the service.
     *
     * @return URL; valid once started
     */
    public String url() {
        return "http://" + ADDRESS + ":" + port();
    }

    @Override
    protected void faultsChanged() {
        if (faults().outage()) {
            closeConnections();
        }
    }

    @Override
    protected void serve(HttpServerRequest request) {
        if (request.path().equals(CALLS_PATH)) {
            reply(request, 200, calls);
            return;
        }
        if (faults().outage()) {
            request.connection().close();
            return;
        }
        request.body().onSuccess(body -> {
            long delay = faults().delayMillis();
            if (delay > 0) {
                vertx.setTimer(delay, ignored -> handle(request, body));
            } else {
                handle(request, body);
            }
        });
    }

    private void handle(HttpServerRequest request, Buffer body) {
        if (faults().outage()) {
            request.connection().close();
            return;
        }
        if (body.length() > MAX_BODY_BYTES) {
            fail(request, "etcdserver: request is too large");
            return;
        }
        Optional<JsonNode> call = ProtocolJson.read(body.getBytes(), JsonNode.class);
        if (call.isEmpty()) {
            fail(request, "malformed body");
        } else if (request.path().equals(WATCH_PATH)) {
            openWatch(request, call.get());
        } else {
            execute(request, call.get(), body.length());
        }
    }

    private void execute(HttpServerRequest request, JsonNode call, int bytes) {
        boolean write = countCall(request.path(), bytes);
        StoreFaults faults = faults();
        writes += write ? 1 : 0;
        if (!write || faults.loseEvery() == 0 || writes % faults.loseEvery() != 0) {
            answer(request, call);
            return;
        }
        switch (faults.lost()) {
            case APPLIED -> applyUnanswered(request, call);
            case LATE -> vertx.setTimer(Math.max(1, faults.lateMillis()), ignored -> applyUnanswered(request, call));
            case NEVER -> {}
            default -> throw new IllegalArgumentException(faults.lost().name());
        }
        request.connection().close();
    }

    private void applyUnanswered(HttpServerRequest request, JsonNode call) {
        try {
            apply(request.path(), call);
        } catch (StoreModel.BadCall e) {
            // The caller gets no answer, so an error has no receiver either.
            return;
        }
        notifyWatches();
    }

    private void answer(HttpServerRequest request, JsonNode call) {
        try {
            reply(request, 200, apply(request.path(), call));
        } catch (StoreModel.BadCall e) {
            fail(request, e.getMessage());
        }
        notifyWatches();
    }

    private ObjectNode apply(String path, JsonNode call) throws StoreModel.BadCall {
        return switch (path) {
            case "/v3/kv/range" -> model.range(call);
            case "/v3/kv/txn" -> model.txn(call);
            case "/v3/kv/put" -> model.put(call);
            case "/v3/kv/deleterange" -> model.deleteRange(call);
            case "/v3/lease/grant" -> model.grant(call, now());
            case "/v3/lease/keepalive" -> wrapResult(model.keepAlive(call, now()));
            case "/v3/lease/revoke", "/v3/kv/lease/revoke" -> model.revoke(call);
            default -> throw new StoreModel.BadCall("Not Found");
        };
    }

    private boolean countCall(String path, int bytes) {
        boolean write = path.startsWith("/v3/kv/") && !path.equals("/v3/kv/range");
        if (write) {
            calls = calls.plus(0, 1, 0, 0).withWriteOf(bytes);
        } else if (path.equals("/v3/kv/range")) {
            calls = calls.plus(1, 0, 0, 0);
        } else {
            calls = calls.plus(0, 0, 1, 0);
        }
        return write;
    }

    private void openWatch(HttpServerRequest request, JsonNode call) {
        calls = calls.plus(0, 0, 0, 1);
        JsonNode create = StoreModel.field(call, "create_request");
        request.response().setChunked(true).putHeader("content-type", "application/json");
        request.response().closeHandler(ignored -> watches.remove(request));
        ObjectNode created = model.answerWithHeader();
        created.put("created", true);
        send(request, created);
        long start = StoreModel.number(create, "start_revision");
        try {
            if (start > 0) {
                sendChanges(request, create, model.historyFrom(start));
            }
            watches.put(request, create);
        } catch (StoreModel.BadCall e) {
            ObjectNode canceled = model.answerWithHeader();
            canceled.put("canceled", true);
            canceled.put("compact_revision", Long.toString(model.revision()));
            send(request, canceled);
            request.response().end();
        }
    }

    private void changed(StoreModel.Change change) {
        unsentChanges.add(change);
    }

    private void notifyWatches() {
        if (unsentChanges.isEmpty()) {
            return;
        }
        List<StoreModel.Change> batch = List.copyOf(unsentChanges);
        unsentChanges.clear();
        Map.copyOf(watches).forEach((request, create) -> sendChanges(request, create, batch));
    }

    private void sendChanges(HttpServerRequest request, JsonNode create, List<StoreModel.Change> batch) {
        ObjectNode answer = model.answerWithHeader();
        var events = answer.putArray("events");
        for (StoreModel.Change change : batch) {
            if (StoreModel.covers(create, change.entry().key())) {
                events.add(change.json());
            }
        }
        if (!events.isEmpty()) {
            send(request, answer);
        }
    }

    private static void send(HttpServerRequest request, ObjectNode message) {
        Buffer line = Buffer.buffer(ProtocolJson.write(wrapResult(message))).appendString("\n");
        request.response().write(line);
    }

    private static ObjectNode wrapResult(ObjectNode message) {
        ObjectNode wrapped = JSON.objectNode();
        wrapped.set("result", message);
        return wrapped;
    }

    private static void fail(HttpServerRequest request, String message) {
        boolean notFound = message.contains("not found") || message.equals("Not Found");
        ObjectNode body = JSON.objectNode();
        body.put("error", message);
        body.put("message", message);
        body.put("code", notFound ? CODE_NOT_FOUND : CODE_INVALID);
        reply(request, notFound ? 404 : 400, body);
    }

    private static long now() {
        return System.nanoTime() / NANOS_PER_MILLI;
    }
}
