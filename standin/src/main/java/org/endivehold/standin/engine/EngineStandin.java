package org.endivehold.standin.engine;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.endivehold.standin.http.HttpStandin;
import org.endivehold.standin.log.StandinLog;
import org.endivehold.upstream.EngineLoad;
import org.endivehold.upstream.protocol.CacheEventsBody;
import org.endivehold.upstream.protocol.CompletionBody;
import org.endivehold.upstream.protocol.EnginePaths;
import org.endivehold.upstream.protocol.ErrorBody;
import org.endivehold.upstream.protocol.ExportedBody;
import org.endivehold.upstream.protocol.OrderBody;
import org.endivehold.upstream.protocol.ProtocolJson;

/**
 * A stand-in engine behind the interface of docs/ENGINE-INTERFACE.md. Besides {@code /faults}, {@code POST
 * /faults/break} cuts all connections and {@code POST /faults/restart} starts the engine again, cold.
 */
public final class EngineStandin extends HttpStandin<EngineFaults> {
    private static final String BREAK = "/faults/break";
    private static final String RESTART = "/faults/restart";
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final EngineParameters parameters;
    private final Map<Generation, List<StreamReader>> readers = new HashMap<>();
    private final Map<Generation, HttpServerRequest> prefills = new HashMap<>();
    private EngineModel model;
    private Optional<EngineLoad> report = Optional.empty();
    private long reportedAt;
    private long timerAt = Long.MAX_VALUE;
    private long timer = -1;
    private long frozenNanos;
    private long frozenSince = -1;

    /**
     * Creates an engine.
     *
     * @param port TCP port; 0 for any free one
     * @param parameters what it can do
     * @param log takes what it does
     */
    public EngineStandin(int port, EngineParameters parameters, StandinLog log) {
        super(port, EngineFaults.NONE, EngineFaults.class, log);
        this.parameters = parameters;
    }

    @Override
    public Future<?> start() {
        model = new EngineModel(parameters, log(), now(), this::changed);
        takeReport();
        long period = Math.max(1, (long) (parameters.reportMillis() / parameters.speed()));
        vertx.setPeriodic(period, ignored -> takeReport());
        return super.start();
    }

    /**
     * Returns what the engine can do.
     *
     * @return its parameters
     */
    public EngineParameters parameters() {
        return parameters;
    }

    /** Starts the engine again, cold, from any thread; all streams break. */
    public void restart() {
        context.runOnContext(ignored -> {
            model.restart(now(), false);
            closeConnections();
        });
    }

    /** Cuts all connections, from any thread; streams go on inside. */
    public void breakConnections() {
        context.runOnContext(ignored -> closeConnections());
    }

    /**
     * Reads the memory in use.
     *
     * @return tokens in use now, not the lagging report
     */
    public Future<Long> usedTokens() {
        return Future.future(promise -> context.runOnContext(ignored -> promise.complete(model.usedTokens())));
    }

    @Override
    protected void faultsChanged() {
        long nanos = System.nanoTime();
        if (faults().freeze() && frozenSince < 0) {
            frozenSince = nanos;
        } else if (!faults().freeze() && frozenSince >= 0) {
            frozenNanos += nanos - frozenSince;
            frozenSince = -1;
        }
        model.slowness(Math.max(1, faults().slowFactor()));
        pump();
    }

    @Override
    protected void serve(HttpServerRequest request) {
        String path = request.path();
        if (faults().freeze() && !path.startsWith("/faults")) {
            request.pause();
            return;
        }
        switch (path) {
            case EnginePaths.COMPLETIONS -> withBody(request, CompletionBody.class, this::complete);
            case EnginePaths.PREFILL -> withBody(request, CompletionBody.class, this::prefill);
            case EnginePaths.ORDERS -> withBody(request, OrderBody.class, this::order);
            case EnginePaths.LOAD -> reply(request, 200, agedReport());
            case EnginePaths.CACHE_EVENTS ->
                reply(request, 200, new CacheEventsBody(model.cacheEvents(number(request, "after"), now())));
            case BREAK -> closeConnections();
            case RESTART -> {
                model.restart(now(), false);
                closeConnections();
            }
            default -> serveNamed(request, path);
        }
    }

    private void serveNamed(HttpServerRequest request, String path) {
        boolean delete = request.method().equals(HttpMethod.DELETE);
        if (path.startsWith(EnginePaths.STREAMS)) {
            String stream = path.substring(EnginePaths.STREAMS.length());
            if (delete) {
                model.cancel(stream, now());
                confirm(request);
            } else {
                resume(request, stream);
            }
        } else if (path.startsWith(EnginePaths.CACHES) && delete) {
            model.release(path.substring(EnginePaths.CACHES.length()));
            confirm(request);
        } else {
            refuse(request, new EngineRefusal(ErrorBody.Code.NOT_FOUND, path));
        }
    }

    private <T> void withBody(HttpServerRequest request, Class<T> type, Handling<T> handling) {
        request.body().onSuccess(buffer -> {
            try {
                T body = ProtocolJson.read(buffer.getBytes(), type)
                        .orElseThrow(() -> new EngineRefusal(ErrorBody.Code.MALFORMED, "malformed body"));
                handling.handle(request, body);
            } catch (EngineRefusal e) {
                refuse(request, e);
            }
            pump();
        });
    }

    /** Handles a request with its body. */
    @FunctionalInterface
    private interface Handling<T> {
        void handle(HttpServerRequest request, T body) throws EngineRefusal;
    }

    private void complete(HttpServerRequest request, CompletionBody body) throws EngineRefusal {
        read(request, accept(body, false), body.deliveredTokens());
    }

    private Generation accept(CompletionBody body, boolean export) throws EngineRefusal {
        if (faults().refuse()) {
            throw new EngineRefusal(ErrorBody.Code.REFUSED, "the engine takes no work");
        }
        return model.accept(body, export, now());
    }

    private void prefill(HttpServerRequest request, CompletionBody body) throws EngineRefusal {
        Generation generation = accept(body, true);
        prefills.put(generation, request);
        request.response().closeHandler(ignored -> prefills.remove(generation));
        changed(generation);
    }

    private void order(HttpServerRequest request, OrderBody body) throws EngineRefusal {
        model.order(body, now());
        confirm(request);
    }

    private void resume(HttpServerRequest request, String stream) {
        Optional<Generation> found = model.find(stream).filter(g -> !g.broken);
        if (found.isPresent()) {
            read(request, found.get(), number(request, "offset"));
            pump();
        } else {
            refuse(request, new EngineRefusal(ErrorBody.Code.NOT_FOUND, stream));
        }
    }

    private void read(HttpServerRequest request, Generation generation, long offset) {
        if (faults().loseAnswers()) {
            request.connection().close();
            return;
        }
        StreamReader reader = new StreamReader(request.response(), generation, offset, model.boot());
        readers.computeIfAbsent(generation, g -> new ArrayList<>()).add(reader);
        request.response().closeHandler(ignored -> forget(generation, reader));
        changed(generation);
    }

    private void forget(Generation generation, StreamReader reader) {
        List<StreamReader> left = readers.get(generation);
        if (left != null && left.remove(reader) && left.isEmpty()) {
            readers.remove(generation);
        }
    }

    private void changed(Generation generation) {
        if (generation.export) {
            exported(generation);
            return;
        }
        for (StreamReader reader : List.copyOf(readers.getOrDefault(generation, List.of()))) {
            reader.flush();
        }
        if (generation.hasEnded()) {
            readers.remove(generation);
        }
    }

    private void exported(Generation generation) {
        if (!generation.hasEnded()) {
            return;
        }
        HttpServerRequest request = prefills.remove(generation);
        if (request == null) {
            generation.finish.ifPresent(model::release);
        } else if (generation.finish.isPresent() && !faults().loseAnswers()) {
            reply(request, 200, new ExportedBody(generation.finish.get(), generation.ownTokens));
        } else {
            request.connection().close();
        }
    }

    private void confirm(HttpServerRequest request) {
        pump();
        if (faults().loseAnswers()) {
            request.connection().close();
        } else {
            request.response().setStatusCode(204).end();
        }
    }

    private static void refuse(HttpServerRequest request, EngineRefusal refusal) {
        reply(request, refusal.status(), refusal.body());
    }

    private void takeReport() {
        if (!faults().freeze()) {
            report = Optional.of(model.load(now()));
            reportedAt = System.nanoTime();
        }
    }

    private EngineLoad agedReport() {
        EngineLoad load = report.orElseThrow();
        long age = (System.nanoTime() - reportedAt) / NANOS_PER_MILLI;
        return new EngineLoad(
                load.boot(),
                load.cold(),
                load.slots(),
                load.memoryTokens(),
                load.usedTokens(),
                load.waitingPrefillTokens(),
                load.overloadEvents(),
                load.versions(),
                load.streams(),
                load.caches(),
                age);
    }

    private long now() {
        long nanos = frozenSince < 0 ? System.nanoTime() : frozenSince;
        return nanos - frozenNanos;
    }

    private void pump() {
        if (frozenSince >= 0) {
            return;
        }
        model.advance(now());
        long next = model.nextAt();
        if (next != timerAt) {
            vertx.cancelTimer(timer);
            timerAt = next;
            if (next != Long.MAX_VALUE) {
                long millis = Math.max(1, (next - now() + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI);
                timer = vertx.setTimer(millis, ignored -> {
                    timerAt = Long.MAX_VALUE;
                    pump();
                });
            }
        }
    }

    private static long number(HttpServerRequest request, String parameter) {
        try {
            return Long.parseLong(request.getParam(parameter, "0"));
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    /** Encodes one server-sent event. */
    static Buffer event(Object data) {
        return Buffer.buffer("data: ").appendBytes(ProtocolJson.write(data)).appendString("\n\n");
    }
}
