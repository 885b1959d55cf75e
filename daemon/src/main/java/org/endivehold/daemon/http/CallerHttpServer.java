package org.endivehold.daemon.http;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.util.Optional;
import java.util.Set;
import org.endivehold.config.Customer;
import org.endivehold.config.Route;
import org.endivehold.daemon.DaemonContext;
import org.endivehold.daemon.config.ActiveConfiguration;
import org.endivehold.daemon.kernel.Kernel;
import org.endivehold.daemon.kernel.Service;
import org.endivehold.daemon.kernel.StatusContributor;
import org.endivehold.daemon.request.GenerationRunner;
import org.endivehold.daemon.request.PlainRunner;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.misc.LogEvent;
import org.endivehold.misc.RequestId;
import org.jboss.logging.Logger;

/**
 * The HTTP server for callers.
 *
 * <p>On shutdown it first reports itself as not ready but still accepts requests, since load balancers notice this with
 * a delay. After that delay it rejects new requests and waits for those in progress.
 */
public final class CallerHttpServer implements Service, StatusContributor {
    /** Name of the service. */
    public static final String NAME = "front";

    private static final Logger log = Logger.getLogger(CallerHttpServer.class);
    private static final String REQUEST_ID_HEADER = "Endivehold-Request-Id";
    private static final String STREAMS_PATH = "/v1/streams/";
    private static final int IDLE_TIMEOUT_SECONDS = 600;
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final DaemonContext context;
    private final ByteBudget budget;
    private CompletionHandler completions;
    private PlainHandler plain;
    private Readiness readiness;
    private Optional<CallerConfiguration> configuration = Optional.empty();
    private HttpServer server;
    private int connections;
    private int inProgress;
    private long lastRequestNumber;
    private boolean rejectingRequests;
    private Promise<Void> idle;

    /**
     * The state shown to operators.
     *
     * @param port TCP port for callers
     * @param connections number of open connections of callers
     * @param inProgress number of requests in progress
     * @param bufferedBytes total size of the request bodies held in memory, in bytes
     * @param ready whether load balancers should send requests to this daemon
     */
    public record Status(int port, int connections, int inProgress, long bufferedBytes, boolean ready) {}

    /**
     * Creates the server.
     *
     * @param context shared objects of the daemon
     */
    public CallerHttpServer(DaemonContext context) {
        this.context = context;
        budget = new ByteBudget(context.settings().limits().maxBufferedBytes());
        context.meters().gauge("endivehold.buffered.bytes", budget, ByteBudget::used);
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public Set<String> dependencies() {
        return Set.of(ActiveConfiguration.NAME, GenerationRunner.NAME, PlainRunner.NAME);
    }

    @Override
    public Future<Void> start(Kernel kernel) {
        try {
            completions = new CompletionHandler(context, kernel.find(GenerationRunner.NAME, GenerationRunner.class));
            plain = new PlainHandler(context, kernel.find(PlainRunner.NAME, PlainRunner.class));
            ActiveConfiguration active = kernel.find(ActiveConfiguration.NAME, ActiveConfiguration.class);
            active.listen(snapshot -> configuration = Optional.of(new CallerConfiguration(snapshot)));
            readiness = new Readiness(kernel, active);
        } catch (EndiveholdException e) {
            return Future.failedFuture(e);
        }
        server = context.vertx()
                .createHttpServer(options())
                .connectionHandler(this::onConnection)
                .requestHandler(this::handle);
        return server.listen(
                        context.settings().callers().port(),
                        context.settings().callers().address())
                .onSuccess(listening ->
                        LogEvent.of("callers-port").with("port", port()).info(log))
                .mapEmpty();
    }

    /**
     * Returns the port that the server listens on; it differs from the settings if they ask for any free port.
     *
     * @return TCP port
     */
    public int port() {
        return server.actualPort();
    }

    @Override
    public Future<Void> drain() {
        readiness.drain();
        idle = Promise.promise();
        context.vertx().setTimer(Math.max(1, context.settings().shutdown().lagMillis()), id -> {
            rejectingRequests = true;
            checkIdle();
        });
        context.vertx()
                .setTimer(
                        Math.max(
                                1,
                                context.settings().shutdown().lagMillis()
                                        + context.settings().shutdown().drainMillis()),
                        id -> idle.tryComplete());
        return idle.future();
    }

    @Override
    public Future<Void> stop() {
        return server.close();
    }

    @Override
    public String statusName() {
        return NAME;
    }

    @Override
    public Object status() {
        return new Status(
                port(),
                connections,
                inProgress,
                budget.used(),
                readiness.reasons().isEmpty());
    }

    private HttpServerOptions options() {
        return new HttpServerOptions()
                .setMaxHeaderSize(context.settings().limits().maxHeaderBytes())
                .setIdleTimeout(IDLE_TIMEOUT_SECONDS)
                .setHandle100ContinueAutomatically(true);
    }

    private void onConnection(HttpConnection connection) {
        connections++;
        connection.closeHandler(closed -> connections--);
        if (connections > context.settings().limits().maxConnections()) {
            connection.close();
        }
    }

    private void handle(HttpServerRequest http) {
        String path = http.path() == null ? "" : http.path();
        if (path.equals("/livez")) {
            http.response().end("live\n");
        } else if (path.equals("/readyz")) {
            sendReadiness(http);
        } else {
            serve(http, path);
        }
    }

    private void sendReadiness(HttpServerRequest http) {
        var reasons = readiness.reasons();
        if (reasons.isEmpty()) {
            http.response().end("ready\n");
        } else {
            http.response().setStatusCode(HttpStatus.UNAVAILABLE).end(String.join("\n", reasons) + "\n");
        }
    }

    private void serve(HttpServerRequest http, String path) {
        long now = context.ticker().millis();
        RequestId id = nextId();
        http.response().putHeader(REQUEST_ID_HEADER, id.value());
        if (rejectingRequests) {
            http.response().putHeader("Connection", "close");
            sendError(http, id, new EndiveholdException(ErrorType.SHUTTING_DOWN));
            return;
        }
        try {
            CallerConfiguration current =
                    configuration.orElseThrow(() -> new EndiveholdException(ErrorType.NO_CONFIGURATION));
            Customer customer = current.customer(http.getHeader("Authorization"));
            BodyReader body =
                    new BodyReader(context.vertx(), http, context.settings().limits(), budget);
            dispatch(new Exchange(id, http, customer, current, now, body), path);
        } catch (EndiveholdException e) {
            sendError(http, id, e);
        }
    }

    private void dispatch(Exchange exchange, String path) throws EndiveholdException {
        if (path.equals("/v1/completions")) {
            completions.complete(exchange, false, beginExchange(exchange));
        } else if (path.equals("/v1/chat/completions")) {
            completions.complete(exchange, true, beginExchange(exchange));
        } else if (path.startsWith(STREAMS_PATH)) {
            completions.reattach(exchange, path.substring(STREAMS_PATH.length()), beginExchange(exchange));
        } else {
            Route route = exchange.configuration()
                    .routes()
                    .plain(path)
                    .orElseThrow(() -> new EndiveholdException(ErrorType.UNKNOWN_ROUTE, "this path"));
            plain.call(exchange, route, beginExchange(exchange));
        }
    }

    /** Counts the exchange as in progress and returns an idempotent action that ends it and releases its body. */
    private Runnable beginExchange(Exchange exchange) {
        inProgress++;
        return new Runnable() {
            private boolean ended;

            @Override
            public void run() {
                if (!ended) {
                    ended = true;
                    exchange.body().release();
                    inProgress--;
                    checkIdle();
                }
            }
        };
    }

    private void checkIdle() {
        if (rejectingRequests && inProgress == 0) {
            idle.tryComplete();
        }
    }

    private void sendError(HttpServerRequest http, RequestId id, EndiveholdException failure) {
        long retryAfterMillis = HttpStatus.of(failure.type()) == HttpStatus.UNAVAILABLE ? RETRY_AFTER_MILLIS : 0;
        Problem.send(http.response(), failure, id, retryAfterMillis);
    }

    private RequestId nextId() {
        lastRequestNumber++;
        return new RequestId(context.settings().host().value() + ":"
                + Long.toString(context.incarnation().value(), Character.MAX_RADIX) + ":" + lastRequestNumber);
    }
}
