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
 * A stand-in engine with the interface of docs/ENGINE-INTERFACE.md. In addition to {@code /faults}, {@code POST
 * /faults/break} closes all connections and {@code POST /faults/restart} restarts the engine into cold start.
 */
public final class EngineStandin extends HttpStandin<EngineFaults> {
    private static final String BREAK_PATH = "/faults/break";
    private static final String RESTART_PATH = "/faults/restart";
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final EngineParameters parameters;
    private final Map<Generation, List<StreamWriter>> writers = new HashMap<>();
    private final Map<Generation, HttpServerRequest> pendingPrefills = new HashMap<>();
    private EngineModel model;
    private Optional<EngineLoad> lastLoad = Optional.empty();
    private long lastLoadAt;
    private long timerAt = Long.MAX_VALUE;
    private long timerId = -1;
    private long totalFrozenNanos;
    private long frozenSince = -1;

    /**
     * Creates an engine.
     *
     * @param port TCP port; 0 for any free one
     * @param parameters capacity and timing
     * @param log receives the engine's events
     */
    public EngineStandin(int port, EngineParameters parameters, StandinLog log) {
        super(port, EngineFaults.NONE, EngineFaults.class, log);
        this.parameters = parameters;
    }

    @Override
    public Future<?> start() {
        model = new EngineModel(parameters, log(), now(), this::generationChanged);
        refreshLoad();
        long period = Math.max(1, (long) (parameters.reportMillis() / parameters.speed()));
        vertx.setPeriodic(period, ignored -> refreshLoad());
        return super.start();
    }

    /**
     * Returns the capacity and timing of the engine.
     *
     * @return the parameters given at creation
     */
    public EngineParameters parameters() {
        return parameters;
    }

    /** Restarts the engine into cold start, which breaks all streams; may be called from any thread. */
    public void restart() {
        context.runOnContext(ignored -> {
            model.restart(now(), false);
            closeConnections();
        });
    }

    /** Closes all connections while the streams keep running; may be called from any thread. */
    public void breakConnections() {
        context.runOnContext(ignored -> closeConnections());
    }

    /**
     * Returns the KV memory in use now, unlike the delayed load report; may be called from any thread.
     *
     * @return the number of tokens
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
            totalFrozenNanos += nanos - frozenSince;
            frozenSince = -1;
        }
        model.slowdownFactor(Math.max(1, faults().slowFactor()));
        advanceModel();
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
            case EnginePaths.LOAD -> reply(request, 200, loadWithAge());
            case EnginePaths.CACHE_EVENTS ->
                reply(request, 200, new CacheEventsBody(model.cacheEvents(queryNumber(request, "after"), now())));
            case BREAK_PATH -> closeConnections();
            case RESTART_PATH -> {
                model.restart(now(), false);
                closeConnections();
            }
            default -> serveStreamOrCache(request, path);
        }
    }

    private void serveStreamOrCache(HttpServerRequest request, String path) {
        boolean delete = request.method().equals(HttpMethod.DELETE);
        if (path.startsWith(EnginePaths.STREAMS)) {
            String stream = path.substring(EnginePaths.STREAMS.length());
            if (delete) {
                model.cancel(stream, now());
                acknowledge(request);
            } else {
                resume(request, stream);
            }
        } else if (path.startsWith(EnginePaths.CACHES) && delete) {
            model.release(path.substring(EnginePaths.CACHES.length()));
            acknowledge(request);
        } else {
            refuse(request, new EngineRefusal(ErrorBody.Code.NOT_FOUND, path));
        }
    }

    private <T> void withBody(HttpServerRequest request, Class<T> type, BodyHandler<T> handler) {
        request.body().onSuccess(buffer -> {
            try {
                T body = ProtocolJson.read(buffer.getBytes(), type)
                        .orElseThrow(() -> new EngineRefusal(ErrorBody.Code.MALFORMED, "malformed body"));
                handler.handle(request, body);
            } catch (EngineRefusal e) {
                refuse(request, e);
            }
            advanceModel();
        });
    }

    /** Handles a request whose body has been read. */
    @FunctionalInterface
    private interface BodyHandler<T> {
        void handle(HttpServerRequest request, T body) throws EngineRefusal;
    }

    private void complete(HttpServerRequest request, CompletionBody body) throws EngineRefusal {
        streamTo(request, accept(body, false), body.deliveredTokens());
    }

    private Generation accept(CompletionBody body, boolean export) throws EngineRefusal {
        if (faults().refuse()) {
            throw new EngineRefusal(ErrorBody.Code.REFUSED, "the engine accepts no new work");
        }
        return model.accept(body, export, now());
    }

    private void prefill(HttpServerRequest request, CompletionBody body) throws EngineRefusal {
        Generation generation = accept(body, true);
        pendingPrefills.put(generation, request);
        request.response().closeHandler(ignored -> pendingPrefills.remove(generation));
        generationChanged(generation);
    }

    private void order(HttpServerRequest request, OrderBody body) throws EngineRefusal {
        model.order(body, now());
        acknowledge(request);
    }

    private void resume(HttpServerRequest request, String stream) {
        Optional<Generation> found = model.find(stream).filter(g -> !g.broken);
        if (found.isPresent()) {
            streamTo(request, found.get(), queryNumber(request, "offset"));
            advanceModel();
        } else {
            refuse(request, new EngineRefusal(ErrorBody.Code.NOT_FOUND, stream));
        }
    }

    private void streamTo(HttpServerRequest request, Generation generation, long offset) {
        if (faults().loseAnswers()) {
            request.connection().close();
            return;
        }
        StreamWriter writer = new StreamWriter(request.response(), generation, offset, model.boot());
        writers.computeIfAbsent(generation, g -> new ArrayList<>()).add(writer);
        request.response().closeHandler(ignored -> removeWriter(generation, writer));
        generationChanged(generation);
    }

    private void removeWriter(Generation generation, StreamWriter writer) {
        List<StreamWriter> remaining = writers.get(generation);
        if (remaining != null && remaining.remove(writer) && remaining.isEmpty()) {
            writers.remove(generation);
        }
    }

    private void generationChanged(Generation generation) {
        if (generation.export) {
            answerPrefill(generation);
            return;
        }
        for (StreamWriter writer : List.copyOf(writers.getOrDefault(generation, List.of()))) {
            writer.flush();
        }
        if (generation.hasEnded()) {
            writers.remove(generation);
        }
    }

    private void answerPrefill(Generation generation) {
        if (!generation.hasEnded()) {
            return;
        }
        HttpServerRequest request = pendingPrefills.remove(generation);
        if (request == null) {
            generation.result.ifPresent(model::release);
        } else if (generation.result.isPresent() && !faults().loseAnswers()) {
            reply(request, 200, new ExportedBody(generation.result.get(), generation.unattachedTokens));
        } else {
            request.connection().close();
        }
    }

    private void acknowledge(HttpServerRequest request) {
        advanceModel();
        if (faults().loseAnswers()) {
            request.connection().close();
        } else {
            request.response().setStatusCode(204).end();
        }
    }

    private static void refuse(HttpServerRequest request, EngineRefusal refusal) {
        reply(request, refusal.status(), refusal.body());
    }

    private void refreshLoad() {
        if (!faults().freeze()) {
            lastLoad = Optional.of(model.load(now()));
            lastLoadAt = System.nanoTime();
        }
    }

    private EngineLoad loadWithAge() {
        EngineLoad load = lastLoad.orElseThrow();
        long age = (System.nanoTime() - lastLoadAt) / NANOS_PER_MILLI;
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
        return nanos - totalFrozenNanos;
    }

    private void advanceModel() {
        if (frozenSince >= 0) {
            return;
        }
        model.advance(now());
        long next = model.nextEventAt();
        if (next != timerAt) {
            vertx.cancelTimer(timerId);
            timerAt = next;
            if (next != Long.MAX_VALUE) {
                long millis = Math.max(1, (next - now() + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI);
                timerId = vertx.setTimer(millis, ignored -> {
                    timerAt = Long.MAX_VALUE;
                    advanceModel();
                });
            }
        }
    }

    private static long queryNumber(HttpServerRequest request, String parameter) {
        try {
            return Long.parseLong(request.getParam(parameter, "0"));
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    /** Encodes the data field of a server-sent event as JSON, with the blank line that ends the event. */
    static Buffer encodeEvent(Object data) {
        return Buffer.buffer("data: ").appendBytes(ProtocolJson.write(data)).appendString("\n\n");
    }
}
