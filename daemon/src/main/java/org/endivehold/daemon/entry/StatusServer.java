package org.endivehold.daemon.entry;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.util.function.BooleanSupplier;
import org.endivehold.misc.Ticker;
import org.endivehold.relay.RelaySettings;
import org.endivehold.relay.connection.ConnectionLimits;
import org.endivehold.relay.connection.ServerGuard;
import org.endivehold.relay.limit.HeldBytes;
import org.endivehold.relay.route.CallerLimits;
import org.endivehold.relay.serve.DeferredMeters;

/** The HTTP servers for readiness checks of load balancers and for metrics. */
final class StatusServer {
    /** URL path under which the metrics are served. */
    static final String METRICS_PATH = "/metrics";
    /** Content type of the Prometheus text format. */
    private static final String METRICS_TYPE = "text/plain; version=0.0.4";

    /** Longest request headers and longest request line, in bytes. */
    private static final int MAX_HEADER_BYTES = 16_384;
    /** Receive buffer of a connection in the kernel, in bytes; a usual request has far less. */
    private static final int RECEIVE_BUFFER_BYTES = 16_384;

    private final Vertx vertx;
    private final RelaySettings settings;
    private final String readinessPath;
    private final DeferredMeters<PrometheusMeterRegistry> meters;
    private final BooleanSupplier stateComplete;
    private final HeldBytes heads;
    private boolean stopping;

    StatusServer(
            Vertx vertx,
            RelaySettings settings,
            String readinessPath,
            DeferredMeters<PrometheusMeterRegistry> meters,
            BooleanSupplier stateComplete,
            HeldBytes heads) {
        this.vertx = vertx;
        this.settings = settings;
        this.readinessPath = readinessPath;
        this.meters = meters;
        this.stateComplete = stateComplete;
        this.heads = heads;
    }

    Future<Void> listen() {
        ConnectionLimits limits = settings.connections();
        return server("readiness", limits.readiness())
                .requestHandler(this::readiness)
                .listen(settings.readiness())
                .compose(done -> server("metrics", limits.metrics())
                        .requestHandler(this::metrics)
                        .listen(settings.metrics()))
                .mapEmpty();
    }

    private HttpServer server(String name, int maxConnections) {
        ServerGuard guard =
                new ServerGuard(vertx, Ticker.system(), name, maxConnections, () -> CallerLimits.DEFAULT, heads);
        return vertx.createHttpServer(new HttpServerOptions()
                        .setMaxHeaderSize(MAX_HEADER_BYTES)
                        .setMaxInitialLineLength(MAX_HEADER_BYTES)
                        .setReceiveBufferSize(RECEIVE_BUFFER_BYTES)
                        .setHttp2ClearTextEnabled(false))
                .connectionHandler(guard::guard);
    }

    void stopping() {
        stopping = true;
    }

    private void readiness(HttpServerRequest request) {
        boolean known = request.path().equals(readinessPath);
        boolean ready = !stopping && stateComplete.getAsBoolean();
        int status = ready ? 200 : 503;
        request.response().setStatusCode(known ? status : 404).end();
    }

    private void metrics(HttpServerRequest request) {
        if (request.path().equals(METRICS_PATH)) {
            request.response()
                    .putHeader("Content-Type", METRICS_TYPE)
                    .end(meters.registry().scrape());
        } else {
            request.response().setStatusCode(404).end();
        }
    }
}
