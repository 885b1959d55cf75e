package org.endivehold.daemon.upstream;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.endivehold.config.Upstream;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.error.RunOutcome;
import org.endivehold.misc.StreamId;
import org.endivehold.misc.UpstreamName;
import org.endivehold.upstream.CacheEvent;
import org.endivehold.upstream.CacheHandle;
import org.endivehold.upstream.Engine;
import org.endivehold.upstream.EngineLoad;
import org.endivehold.upstream.EngineOrder;
import org.endivehold.upstream.GenerateRequest;
import org.endivehold.upstream.StreamListener;
import org.endivehold.upstream.protocol.CacheEventsBody;
import org.endivehold.upstream.protocol.CompletionBody;
import org.endivehold.upstream.protocol.EnginePaths;
import org.endivehold.upstream.protocol.ExportedBody;
import org.endivehold.upstream.protocol.OrderBody;
import org.endivehold.upstream.protocol.ProtocolJson;

/** Adapter to an engine over HTTP; docs/ENGINE-INTERFACE.md specifies the protocol. */
final class HttpEngine implements Engine {
    private static final long ACCEPT_TIMEOUT_MILLIS = 10_000;
    private static final long CONTROL_TIMEOUT_MILLIS = 2_000;
    private static final long PREFILL_TIMEOUT_MILLIS = 600_000;
    private static final long CANCEL_RETRY_MILLIS = 500;
    private static final int MAX_CANCEL_ATTEMPTS = 4;

    private final Vertx vertx;
    private final UpstreamName name;
    private final UpstreamHttpClient streams;
    private final UpstreamHttpClient control;

    /**
     * Creates the adapter.
     *
     * @param vertx runs the timers
     * @param streamClient connections for streams
     * @param controlClient connections for control calls, separate so that a cancellation does not queue behind streams
     * @param upstream the engine
     */
    HttpEngine(Vertx vertx, HttpClient streamClient, HttpClient controlClient, Upstream upstream) {
        this.vertx = vertx;
        name = upstream.name();
        streams = new UpstreamHttpClient(vertx, streamClient, name, upstream.address(), upstream.port());
        control = new UpstreamHttpClient(vertx, controlClient, name, upstream.address(), upstream.port());
    }

    @Override
    public StreamHandle start(GenerateRequest request, StreamListener listener) {
        StreamId id = request.stream();
        EngineStream stream = newStream(id, request.deliveredTokens(), listener);
        Buffer body = Buffer.buffer(ProtocolJson.write(CompletionBody.of(request)));
        open(stream, HttpMethod.POST, EnginePaths.COMPLETIONS, body);
        return stream;
    }

    @Override
    public StreamHandle resume(StreamId id, long offset, StreamListener listener) {
        EngineStream stream = newStream(id, offset, listener);
        open(stream, HttpMethod.GET, EnginePaths.STREAMS + id + "?offset=" + offset, Buffer.buffer());
        return stream;
    }

    @Override
    public CompletionStage<Void> cancel(StreamId stream) {
        return control(HttpMethod.DELETE, EnginePaths.STREAMS + stream)
                .<Void>mapEmpty()
                .toCompletionStage();
    }

    @Override
    public CompletionStage<EngineLoad> loadReport() {
        return control(HttpMethod.GET, EnginePaths.LOAD)
                .compose(body -> parse(body, EngineLoad.class))
                .toCompletionStage();
    }

    @Override
    public CompletionStage<Void> order(EngineOrder order) {
        Buffer body = Buffer.buffer(ProtocolJson.write(OrderBody.of(order)));
        return control.controlCall(HttpMethod.POST, EnginePaths.ORDERS, body, CONTROL_TIMEOUT_MILLIS)
                .compose(answer -> EngineErrors.isFenced(answer.status(), answer.body())
                        ? Future.failedFuture(new EndiveholdException(ErrorType.ORDER_FENCED, name, order.epoch()))
                        : bodyOfSuccess(answer))
                .<Void>mapEmpty()
                .toCompletionStage();
    }

    @Override
    public CompletionStage<CacheHandle> prefillAndExport(GenerateRequest request) {
        Buffer body = Buffer.buffer(ProtocolJson.write(CompletionBody.of(request)));
        return streams.controlCall(HttpMethod.POST, EnginePaths.PREFILL, body, PREFILL_TIMEOUT_MILLIS)
                .compose(this::bodyOfSuccess)
                .compose(answer -> parse(answer, ExportedBody.class))
                .map(exported -> new CacheHandle(name, exported.id(), exported.tokens()))
                .toCompletionStage();
    }

    @Override
    public CompletionStage<Void> release(CacheHandle handle) {
        return control(HttpMethod.DELETE, EnginePaths.CACHES + handle.id())
                .<Void>mapEmpty()
                .toCompletionStage();
    }

    @Override
    public CompletionStage<List<CacheEvent>> cacheEvents(long after) {
        return control(HttpMethod.GET, EnginePaths.CACHE_EVENTS + "?after=" + after)
                .compose(body -> parse(body, CacheEventsBody.class))
                .map(CacheEventsBody::events)
                .toCompletionStage();
    }

    private EngineStream newStream(StreamId id, long offset, StreamListener listener) {
        return new EngineStream(vertx, name, id, offset, listener, () -> cancel(id, 1));
    }

    private void open(EngineStream stream, HttpMethod method, String path, Buffer body) {
        streams.open(method, path)
                .onSuccess(request -> stream.sendRequest(request, body, ACCEPT_TIMEOUT_MILLIS))
                .onFailure(stream::failUnreachable);
    }

    /**
     * Cancels a stream, with retries until the engine confirms; if all fail, the stream runs to its end on the engine.
     */
    private void cancel(StreamId stream, int attempt) {
        control(HttpMethod.DELETE, EnginePaths.STREAMS + stream).onFailure(failure -> {
            if (attempt < MAX_CANCEL_ATTEMPTS) {
                vertx.setTimer(CANCEL_RETRY_MILLIS * attempt, ignored -> cancel(stream, attempt + 1));
            }
        });
    }

    private Future<Buffer> control(HttpMethod method, String path) {
        return control.controlCall(method, path, Buffer.buffer(), CONTROL_TIMEOUT_MILLIS)
                .compose(this::bodyOfSuccess);
    }

    private Future<Buffer> bodyOfSuccess(UpstreamHttpClient.Answer answer) {
        return answer.status() < 300
                ? Future.succeededFuture(answer.body())
                : Future.failedFuture(EngineErrors.of(name, answer.status(), answer.body(), Optional.empty()));
    }

    private <T> Future<T> parse(Buffer body, Class<T> type) {
        return ProtocolJson.read(body.getBytes(), type)
                .map(Future::succeededFuture)
                .orElseGet(() -> Future.failedFuture(new EndiveholdException(
                        RunOutcome.UNKNOWN, ErrorType.UPSTREAM_PROTOCOL, name, "malformed answer")));
    }
}
