package org.endivehold.relay.serve;

import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.SocketAddress;
import org.endivehold.relay.state.Upstream;

/**
 * Sends requests to upstreams.
 *
 * <p>Each request has a connection of its own. A connection that is used again may carry bytes that belong to an
 * earlier request, may have been closed on the way, or may lead to whoever has the address now; opening one costs the
 * upstream a millisecond and the request one round trip.
 */
final class UpstreamClient {
    /** Longest time to open a connection, in milliseconds: many round trips, but less than a lost packet costs. */
    static final int CONNECT_MILLIS = 400;
    /** Connections to one upstream at a time: more than its slots can use, so that no request waits for one. */
    private static final int MAX_CONNECTIONS = 2_000;

    private final HttpClient client;
    private final Dialect dialect;

    UpstreamClient(Vertx vertx, Dialect dialect) {
        this.dialect = dialect;
        client = vertx.createHttpClient(
                new HttpClientOptions()
                        .setKeepAlive(false)
                        .setConnectTimeout(CONNECT_MILLIS)
                        .setTcpNoDelay(true)
                        .setDecompressionSupported(false),
                new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS));
    }

    /** The caller's request as every attempt sends it. */
    record Outgoing(HttpMethod method, String uri, MultiMap headers, Buffer body) {}

    UpstreamAttempt send(Outgoing outgoing, Upstream upstream, UpstreamCall call, UpstreamAttempt.Listener listener) {
        MultiMap headers = MultiMap.caseInsensitiveMultiMap().addAll(outgoing.headers());
        dialect.call(headers, call);
        SocketAddress address = upstream.entry().address();
        RequestOptions options = new RequestOptions()
                .setServer(address)
                .setHost(address.host())
                .setPort(address.port())
                .setMethod(outgoing.method())
                .setURI(outgoing.uri())
                .setHeaders(headers);
        UpstreamAttempt attempt = new UpstreamAttempt(dialect, listener);
        client.request(options)
                .onSuccess(opened -> attempt.opened(opened, outgoing.body()))
                .onFailure(attempt::failedToOpen);
        return attempt;
    }
}
