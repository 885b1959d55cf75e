package org.endivehold.daemon.entry;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;
import java.util.function.BooleanSupplier;
import org.endivehold.relay.RelaySettings;
import org.endivehold.relay.serve.DeferredMeters;

/** The HTTP servers for readiness checks of load balancers and for metrics. */
final class StatusServer {
    /** URL path under which the metrics are served. */
    static final String METRICS_PATH = "/metrics";
    /** Content type of the Prometheus text format. */
    private static final String METRICS_TYPE = "text/plain; version=0.0.4";

    private final Vertx vertx;
    private final RelaySettings settings;
    private final String readinessPath;
    private final DeferredMeters<PrometheusMeterRegistry> meters;
    private final BooleanSupplier stateComplete;
    private boolean stopping;

    StatusServer(
            Vertx vertx,
            RelaySettings settings,
            String readinessPath,
            DeferredMeters<PrometheusMeterRegistry> meters,
            BooleanSupplier stateComplete) {
        this.vertx = vertx;
        this.settings = settings;
        this.readinessPath = readinessPath;
        this.meters = meters;
        this.stateComplete = stateComplete;
    }

    Future<Void> listen() {
        return vertx.createHttpServer()
                .requestHandler(this::readiness)
                .listen(settings.readiness())
                .compose(done ->
                        vertx.createHttpServer().requestHandler(this::metrics).listen(settings.metrics()))
                .mapEmpty();
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
