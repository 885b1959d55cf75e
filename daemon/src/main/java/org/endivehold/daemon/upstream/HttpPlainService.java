package org.endivehold.daemon.upstream;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import org.endivehold.config.Upstream;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.error.RunOutcome;
import org.endivehold.misc.UpstreamName;
import org.endivehold.upstream.PlainAnswer;
import org.endivehold.upstream.PlainCall;
import org.endivehold.upstream.PlainLoad;
import org.endivehold.upstream.PlainService;
import org.endivehold.upstream.protocol.EnginePaths;
import org.endivehold.upstream.protocol.ProtocolJson;

/** A plain service over HTTP. Headers that belong to one connection are not passed on. */
final class HttpPlainService implements PlainService {
    private static final long LOAD_MILLIS = 2_000;
    private static final Set<String> HOP_HEADERS = Set.of(
            "connection",
            "content-length",
            "expect",
            "host",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade");

    private final UpstreamName name;
    private final UpstreamCalls calls;
    private final UpstreamCalls control;

    /**
     * Creates the adapter.
     *
     * @param vertx runs timers
     * @param callClient connections for calls
     * @param controlClient connections for load reports
     * @param upstream the service
     */
    HttpPlainService(Vertx vertx, HttpClient callClient, HttpClient controlClient, Upstream upstream) {
        name = upstream.name();
        calls = new UpstreamCalls(vertx, callClient, name, upstream.address(), upstream.port());
        control = new UpstreamCalls(vertx, controlClient, name, upstream.address(), upstream.port());
    }

    @Override
    public CompletionStage<PlainAnswer> call(PlainCall call) {
        Map<String, String> headers = endToEnd(call.headers().entrySet());
        return calls.call(
                        HttpMethod.valueOf(call.method()),
                        call.path(),
                        headers,
                        Buffer.buffer(call.body()),
                        call.timeoutMillis())
                .map(answer -> new PlainAnswer(
                        answer.status(),
                        endToEnd(answer.response().headers().entries()),
                        answer.body().getBytes()))
                .toCompletionStage();
    }

    @Override
    public CompletionStage<PlainLoad> loadReport() {
        return control.call(HttpMethod.GET, EnginePaths.LOAD, Map.of(), Buffer.buffer(), LOAD_MILLIS)
                .compose(answer -> ProtocolJson.read(answer.body().getBytes(), PlainLoad.class)
                        .map(Future::succeededFuture)
                        .orElseGet(() -> Future.failedFuture(new EndiveholdException(
                                RunOutcome.UNKNOWN, ErrorType.UPSTREAM_PROTOCOL, name, "malformed load report"))))
                .toCompletionStage();
    }

    private static Map<String, String> endToEnd(Iterable<Map.Entry<String, String>> headers) {
        Map<String, String> kept = new LinkedHashMap<>();
        for (Map.Entry<String, String> header : headers) {
            if (!HOP_HEADERS.contains(header.getKey().toLowerCase(Locale.ROOT))) {
                kept.put(header.getKey(), header.getValue());
            }
        }
        return kept;
    }
}
