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
import org.endivehold.http.HttpClients;
import org.endivehold.http.InvalidAnswerException;
import org.endivehold.misc.Ticker;
import org.endivehold.relay.path.PathMonitor;
import org.endivehold.relay.state.Upstream;

/**
 * HTTP client for requests to upstreams.
 *
 * <p>Each request has a connection of its own. A reused connection may deliver bytes of an earlier request, may have
 * been closed in between, or may lead to a process that had the address before. A new one costs the upstream a
 * millisecond and the request one round trip.
 *
 * <p>A request is sent in the turn of the event loop after the one in which its connection was opened. Whatever else
 * has arrived by then has been read before. So a process that stood still, and finds requests of callers who have left
 * meanwhile, learns that they have left before it sends on what they asked for.
 */
final class UpstreamClient {
    /** Longest time to open a connection, in milliseconds: many round trips, but less than a lost packet costs. */
    static final int CONNECT_TIMEOUT_MILLIS = 400;
    /** Most open connections to one upstream: more than its slots can use, so that no request waits for one. */
    private static final int MAX_CONNECTIONS = 2_000;

    private final RelayContext context;
    private final Vertx vertx;
    private final HttpClient client;
    private final Dialect headerCodec;
    private final Ticker ticker;
    private final UpstreamTrafficListener trafficListener;
    private final PathMonitor paths;

    UpstreamClient(RelayContext context) {
        this.context = context;
        this.vertx = context.vertx();
        this.ticker = context.ticker();
        this.headerCodec = context.headerCodec();
        this.trafficListener = context.trafficListener();
        this.paths = context.paths();
        client = HttpClients.create(
                context.vertx(),
                new HttpClientOptions()
                        .setKeepAlive(false)
                        .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
                        .setTcpNoDelay(true)
                        .setDecompressionSupported(false),
                new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS));
    }

    /** The caller's request without hop-by-hop headers, as it is sent in every attempt. */
    record OutgoingRequest(HttpMethod method, String uri, MultiMap headers, Buffer body) {}

    UpstreamAttempt send(
            OutgoingRequest outgoing,
            Upstream upstream,
            UpstreamHeaderValues values,
            UpstreamAttempt.Listener listener) {
        MultiMap headers = MultiMap.caseInsensitiveMultiMap().addAll(outgoing.headers());
        headerCodec.writeUpstreamHeaders(headers, values);
        SocketAddress address = upstream.entry().address();
        RequestOptions options = new RequestOptions()
                .setServer(address)
                .setHost(address.host())
                .setPort(address.port())
                .setMethod(outgoing.method())
                .setURI(outgoing.uri())
                .setHeaders(headers);
        double sentAt = (double) ticker.millis();
        UpstreamAttempt attempt = new UpstreamAttempt(
                vertx,
                headerCodec,
                head -> trafficListener.answered(upstream, head, sentAt),
                invalid -> reportInvalid(invalid, outgoing, upstream),
                listener);
        client.request(options)
                .onSuccess(opened -> {
                    paths.recordReached(upstream);
                    vertx.runOnContext(turn -> attempt.opened(opened, outgoing.body()));
                })
                .onFailure(failure -> {
                    paths.recordUnreached(upstream);
                    attempt.failedToOpen(failure);
                });
        return attempt;
    }

    private void reportInvalid(InvalidAnswerException invalid, OutgoingRequest outgoing, Upstream upstream) {
        String request = headerCodec.parseRequest(outgoing.headers()).attemptId();
        context.recordInvalidAnswer(request, upstream.id(), invalid);
    }
}
