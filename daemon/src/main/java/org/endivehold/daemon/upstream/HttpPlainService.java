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

/**
 * Adapter to a plain service over HTTP. Hop-by-hop headers, and {@code host}, {@code expect} and
 * {@code content-length}, are not forwarded.
 */
final class HttpPlainService implements PlainService {
    private static final long LOAD_TIMEOUT_MILLIS = 2_000;
    private static final Set<String> NOT_FORWARDED_HEADERS = Set.of(
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
    private final UpstreamHttpClient calls;
    private final UpstreamHttpClient control;

    /**
     * Creates the adapter.
     *
     * @param vertx runs the timers
     * @param callClient connections for calls
     * @param controlClient connections for load reports
     * @param upstream the service
     */
    HttpPlainService(Vertx vertx, HttpClient callClient, HttpClient controlClient, Upstream upstream) {
        name = upstream.name();
        calls = new UpstreamHttpClient(vertx, callClient, name, upstream.address(), upstream.port());
        control = new UpstreamHttpClient(vertx, controlClient, name, upstream.address(), upstream.port());
    }

    @Override
    public CompletionStage<PlainAnswer> call(PlainCall call) {
        Map<String, String> headers = forwardedHeaders(call.headers().entrySet());
        return calls.call(
                        HttpMethod.valueOf(call.method()),
                        call.path(),
                        headers,
                        Buffer.buffer(call.body()),
                        call.timeoutMillis())
                .map(answer -> new PlainAnswer(
                        answer.status(),
                        forwardedHeaders(answer.response().headers().entries()),
                        answer.body().getBytes()))
                .toCompletionStage();
    }

    @Override
    public CompletionStage<PlainLoad> loadReport() {
        return control.controlCall(HttpMethod.GET, EnginePaths.LOAD, Buffer.buffer(), LOAD_TIMEOUT_MILLIS)
                .compose(answer -> ProtocolJson.read(answer.body().getBytes(), PlainLoad.class)
                        .map(Future::succeededFuture)
                        .orElseGet(() -> Future.failedFuture(new EndiveholdException(
                                RunOutcome.UNKNOWN, ErrorType.UPSTREAM_PROTOCOL, name, "malformed load report"))))
                .toCompletionStage();
    }

    private static Map<String, String> forwardedHeaders(Iterable<Map.Entry<String, String>> headers) {
        Map<String, String> kept = new LinkedHashMap<>();
        for (Map.Entry<String, String> header : headers) {
            if (!NOT_FORWARDED_HEADERS.contains(header.getKey().toLowerCase(Locale.ROOT))) {
                kept.put(header.getKey(), header.getValue());
            }
        }
        return kept;
    }
}
