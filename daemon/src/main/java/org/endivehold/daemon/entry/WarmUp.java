package org.endivehold.daemon.entry;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.net.SocketAddress;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.endivehold.adapter.HeaderNames;
import org.endivehold.adapter.OrderClient;
import org.endivehold.adapter.PlatformStoreClient;
import org.endivehold.adapter.StoreEntries;
import org.endivehold.relay.RelaySettings;
import org.endivehold.relay.serve.RelayBounds;

/**
 * Runs a daemon on the loopback interface for a short time, so that the JVM can write an archive of the loaded classes.
 *
 * <p>A daemon that starts with this archive reads hardly any classes from its jar, so it starts faster and uses less
 * processor time.
 */
final class WarmUp {
    private static final String LOOPBACK = "127.0.0.1";
    /** Run time of the daemon, in milliseconds; long enough for calls to the unreachable store to have failed. */
    private static final long RUN_MILLIS = 700;

    private static final long TIMEOUT_SECONDS = 20;

    private WarmUp() {}

    static void run() throws InterruptedException, ExecutionException, TimeoutException {
        Vertx vertx = EntryDaemon.createVertx();
        SocketAddress anyPort = SocketAddress.inetSocketAddress(0, LOOPBACK);
        SocketAddress closedPort = SocketAddress.inetSocketAddress(1, LOOPBACK);
        RelaySettings settings = new RelaySettings(
                "warm-up",
                "zone",
                1,
                anyPort,
                anyPort,
                anyPort,
                anyPort,
                List.of(closedPort),
                closedPort,
                1_000,
                new RelayBounds(1_000, 1, 1, 1, 1, 1));
        EntryDaemon daemon = new EntryDaemon(
                vertx,
                settings,
                new PlatformStoreClient(vertx, closedPort),
                new StoreEntries(),
                new HeaderNames(),
                new OrderClient(vertx, new HeaderNames()));
        Future<Void> done = daemon.start()
                .compose(started -> vertx.createHttpServer()
                        .requestHandler(request -> request.response().end("warm"))
                        .listen(anyPort))
                .compose(server -> sendRequest(vertx, server.actualPort()))
                .compose(answer -> vertx.timer(RUN_MILLIS, TimeUnit.MILLISECONDS))
                .compose(waited -> vertx.close());
        done.toCompletionStage().toCompletableFuture().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private static Future<Void> sendRequest(Vertx vertx, int port) {
        HttpClientAgent client = vertx.createHttpClient();
        return client.request(HttpMethod.GET, port, LOOPBACK, "/")
                .compose(HttpClientRequest::send)
                .compose(HttpClientResponse::body)
                .mapEmpty();
    }
}
