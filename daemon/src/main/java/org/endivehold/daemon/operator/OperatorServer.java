package org.endivehold.daemon.operator;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.vertx.core.Future;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.endivehold.config.AvailabilityZone;
import org.endivehold.config.ConfigurationReader;
import org.endivehold.config.ConfigurationSnapshot;
import org.endivehold.config.Upstream;
import org.endivehold.daemon.DaemonContext;
import org.endivehold.daemon.config.ActiveConfiguration;
import org.endivehold.daemon.config.ConfigurationService;
import org.endivehold.daemon.http.HttpStatus;
import org.endivehold.daemon.http.Problem;
import org.endivehold.daemon.kernel.Kernel;
import org.endivehold.daemon.kernel.Service;
import org.endivehold.daemon.peer.PeerTransport;
import org.endivehold.daemon.platform.EtcdStore;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.membership.MemberDirectory;
import org.endivehold.misc.LogEvent;
import org.endivehold.misc.RequestId;
import org.endivehold.platform.PlatformStore;
import org.endivehold.wire.StatusAnswer;
import org.endivehold.wire.StatusQuery;
import org.endivehold.wire.TraceAnswer;
import org.endivehold.wire.TraceQuery;
import org.jboss.logging.Logger;

/** The HTTP server for operators. It works without a configuration in force, so that the first can be published. */
public final class OperatorServer implements Service {
    /** Name of the service. */
    public static final String NAME = "operators";

    private static final Logger log = Logger.getLogger(OperatorServer.class);
    private static final int MAX_BODY_BYTES = ConfigurationReader.MAX_DOCUMENT_BYTES;
    private static final int IDLE_TIMEOUT_SECONDS = 60;
    private static final RequestId PLACEHOLDER_REQUEST = new RequestId("operator");

    private final DaemonContext context;
    private StatusCollector statuses;
    private FleetCollector fleet;
    private ConfigurationHandler configurations;
    private ConfigurationService configurationService;
    private OperatorToken token;
    private HttpServer server;

    /**
     * Creates the server.
     *
     * @param context shared objects of the daemon
     */
    public OperatorServer(DaemonContext context) {
        this.context = context;
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public Set<String> dependencies() {
        return Set.of(ActiveConfiguration.NAME, EtcdStore.NAME, PeerTransport.NAME, MemberDirectory.NAME);
    }

    @Override
    public Future<Void> start(Kernel kernel) {
        try {
            resolveServices(kernel);
        } catch (EndiveholdException e) {
            return Future.failedFuture(e);
        }
        HttpServerOptions options =
                new HttpServerOptions().setIdleTimeout(IDLE_TIMEOUT_SECONDS).setIdleTimeoutUnit(TimeUnit.SECONDS);
        return context.vertx()
                .fileSystem()
                .readFile(context.settings().operators().tokenFile())
                .compose(content -> {
                    token = new OperatorToken(content.toString());
                    server = context.vertx().createHttpServer(options).requestHandler(router());
                    return server.listen(
                            context.settings().operators().port(),
                            context.settings().operators().address());
                })
                .onSuccess(listening -> LogEvent.of("operators-listening")
                        .with("address", context.settings().operators().address())
                        .with("port", listening.actualPort())
                        .info(log))
                .mapEmpty();
    }

    private void resolveServices(Kernel kernel) throws EndiveholdException {
        PeerTransport peers = kernel.find(PeerTransport.NAME, PeerTransport.class);
        MemberDirectory members = kernel.find(MemberDirectory.NAME, MemberDirectory.class);
        configurationService = kernel.find(ActiveConfiguration.NAME, ConfigurationService.class);
        statuses = new StatusCollector(context, kernel);
        fleet = new FleetCollector(peers, members);
        configurations =
                new ConfigurationHandler(kernel.find(EtcdStore.NAME, PlatformStore.class), configurationService);
        peers.setHandler(
                StatusQuery.class,
                (host, query) -> Future.succeededFuture(
                        new StatusAnswer(statuses.collect(query.brief()).encode())));
        peers.setHandler(TraceQuery.class, (host, query) -> Future.succeededFuture(trace(query.request())));
    }

    @Override
    public Future<Void> stop() {
        return server.close();
    }

    /**
     * Returns the port that the server listens on; it differs from the settings if they ask for any free port.
     *
     * @return TCP port
     */
    public int port() {
        return server.actualPort();
    }

    private Router router() {
        Router router = Router.router(context.vertx());
        router.route().handler(this::authenticate);
        router.post().handler(BodyHandler.create(false).setBodyLimit(MAX_BODY_BYTES));
        router.post("/v1/check")
                .handler(jsonHandler(call ->
                        Future.succeededFuture(configurations.check(call.body().buffer()))));
        router.post("/v1/publish")
                .handler(jsonHandler(call -> configurations.publish(call.body().buffer())));
        router.get("/v1/config")
                .handler(jsonHandler(call -> configurations.configuration(
                        Optional.ofNullable(call.request().getParam("revision")))));
        router.get("/v1/history").handler(jsonHandler(call -> configurations.history()));
        router.get("/v1/status").handler(jsonHandler(call -> Future.succeededFuture(statuses.collect(false))));
        router.get("/v1/fleet").handler(jsonHandler(this::fleet));
        router.get("/metrics").handler(this::metrics);
        router.get("/v1/trace/:request").handler(jsonHandler(this::trace));
        router.route().failureHandler(this::onRouteFailure);
        router.errorHandler(HttpStatus.NOT_FOUND, call -> sendError(call, ErrorType.OPERATOR_REQUEST, "no such path"));
        return router;
    }

    private void authenticate(RoutingContext call) {
        if (token.matches(call.request().getHeader("Authorization"))) {
            call.next();
        } else {
            sendError(call, ErrorType.OPERATOR_UNAUTHENTICATED);
        }
    }

    /** Serves the metrics in the Prometheus text format. */
    private void metrics(RoutingContext call) {
        String text = context.meters() instanceof PrometheusMeterRegistry registry ? registry.scrape() : "";
        call.response()
                .putHeader("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
                .end(text);
    }

    private io.vertx.core.Handler<RoutingContext> jsonHandler(Function<RoutingContext, Future<JsonObject>> handler) {
        return call -> handler.apply(call).onComplete(done -> {
            if (done.succeeded()) {
                call.response()
                        .putHeader("Content-Type", "application/json")
                        .end(done.result().toBuffer());
            } else {
                sendProblem(call, EndiveholdException.unwrap(done.cause()));
            }
        });
    }

    private Future<JsonObject> fleet(RoutingContext call) {
        boolean brief = "true".equals(call.request().getParam("brief"));
        JsonObject own = new JsonObject().put("status", statuses.collect(brief));
        return fleet.statuses(own, brief).map(daemons -> {
            JsonObject document = new JsonObject();
            if (!brief) {
                configurationService.current().ifPresent(snapshot -> addConfiguration(document, snapshot));
            }
            return document.put("daemons", daemons);
        });
    }

    private static void addConfiguration(JsonObject document, ConfigurationSnapshot snapshot) {
        JsonArray zones = new JsonArray();
        for (AvailabilityZone zone : snapshot.configuration().zones().values()) {
            zones.add(new JsonObject().put("name", zone.name().value()).put("state", lowerCaseName(zone.state())));
        }
        JsonArray upstreams = new JsonArray();
        for (Upstream upstream : snapshot.configuration().upstreams().values()) {
            upstreams.add(new JsonObject()
                    .put("name", upstream.name().value())
                    .put("type", lowerCaseName(upstream.kind()))
                    .put("zone", upstream.zone().value())
                    .put("state", lowerCaseName(upstream.state()))
                    .put("slots", upstream.slots()));
        }
        document.put("revision", snapshot.revision().value())
                .put("zones", zones)
                .put("upstreams", upstreams);
    }

    private static String lowerCaseName(Enum<?> value) {
        return value.name().toLowerCase(java.util.Locale.ROOT);
    }

    private Future<JsonObject> trace(RoutingContext call) {
        RequestId request;
        try {
            request = new RequestId(call.pathParam("request"));
        } catch (IllegalArgumentException e) {
            return Future.failedFuture(new EndiveholdException(ErrorType.OPERATOR_REQUEST, "not a request id"));
        }
        JsonObject own = new JsonObject().put("events", FleetCollector.events(trace(request)));
        return fleet.traces(own, request)
                .map(daemons -> new JsonObject().put("request", request.value()).put("daemons", daemons));
    }

    private TraceAnswer trace(RequestId request) {
        List<TraceAnswer.Event> events = context.trace().events(request).stream()
                .map(event -> new TraceAnswer.Event(event.atMillis(), event.step(), event.detail()))
                .toList();
        return new TraceAnswer(events);
    }

    private void onRouteFailure(RoutingContext call) {
        if (call.failure() != null) {
            sendProblem(call, EndiveholdException.unwrap(call.failure()));
        } else if (call.statusCode() == HttpStatus.TOO_LARGE) {
            sendError(call, ErrorType.BODY_TOO_LARGE, MAX_BODY_BYTES);
        } else {
            sendError(call, ErrorType.OPERATOR_REQUEST, "status " + call.statusCode());
        }
    }

    private void sendError(RoutingContext call, ErrorType type, Object... args) {
        sendProblem(call, new EndiveholdException(type, args));
    }

    private static void sendProblem(RoutingContext call, EndiveholdException failure) {
        if (call.response().ended() || call.response().closed()) {
            return;
        }
        JsonObject problem =
                Problem.document(failure, PLACEHOLDER_REQUEST).put("next", OperatorAdvice.of(failure.type()));
        problem.remove("request");
        call.response()
                .setStatusCode(HttpStatus.of(failure.type()))
                .putHeader("Content-Type", Problem.MEDIA_TYPE)
                .end(problem.toBuffer());
    }
}
