package org.endivehold.relay.serve;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.net.SocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.endivehold.error.ErrorType;
import org.endivehold.misc.LogEvent;
import org.endivehold.relay.route.Customer;
import org.endivehold.relay.route.RelayRoute;
import org.endivehold.relay.route.RelayService;
import org.endivehold.relay.route.RequestKind;
import org.endivehold.relay.route.RoutingTable;
import org.jboss.logging.Logger;

/** Takes requests of callers, finds their route and customer, and serves them. */
public final class CallerServer {
    /** Bytes of headers that are read; the configuration's limit may be lower. */
    private static final int MAX_HEADER_BYTES = 65_536;
    /** Bytes of the first line that are read. */
    private static final int MAX_LINE_BYTES = 16_384;
    /** Time without a byte after which a connection is closed, in seconds; longer than any answer takes. */
    private static final int IDLE_SECONDS = 60;
    /** Time from the signal to stop until idle connections are closed: the balancer has noticed by then. */
    private static final long CLOSE_IDLE_MILLIS = 2_600;
    /**
     * Part of the grace in which requests are taken; the balancer sends some as long as few other daemons are ready.
     */
    private static final double LAST_ADMISSION_SHARE = 0.37;
    /** When a caller that a stopping daemon refuses may come back, in milliseconds: another daemon will take it. */
    private static final int STOPPING_RETRY_MILLIS = 50;
    /** Time before the end of the grace at which the last requests are ended, in milliseconds. */
    private static final long END_BEFORE_GRACE_MILLIS = 700;
    /** Pause between looks whether all requests have ended, in milliseconds. */
    private static final long LOOK_MILLIS = 50;
    /** Looks whether the fleet is known after which a request is refused: a start takes less time than they do. */
    private static final int STARTING_LOOKS = 14;
    /** Bytes of a body that are taken before a configuration says how many. */
    private static final int MAX_BODY_BYTES = 4 << 20;
    /** When a caller that was refused for want of a configuration may come back, in milliseconds. */
    private static final int NO_CONFIGURATION_RETRY_MILLIS = 500;

    private static final Logger log = Logger.getLogger(CallerServer.class);

    private final RelayContext context;
    private final HttpServer server;
    private final UpstreamClient client;
    private final PlainLoads plainLoads = new PlainLoads();
    private final Map<HttpConnection, Integer> connections = new HashMap<>();
    private int active;
    private double stoppingAt = Double.POSITIVE_INFINITY;

    /** Creates the server; it does not listen yet. */
    public CallerServer(RelayContext context) {
        this.context = context;
        client = new UpstreamClient(context.vertx(), context.dialect());
        server = context.vertx()
                .createHttpServer(new HttpServerOptions()
                        .setTcpNoDelay(true)
                        .setMaxHeaderSize(MAX_HEADER_BYTES)
                        .setMaxInitialLineLength(MAX_LINE_BYTES)
                        .setIdleTimeout(IDLE_SECONDS)
                        .setHandle100ContinueAutomatically(true));
        server.requestHandler(this::take);
        server.connectionHandler(this::connected);
    }

    /** Starts to listen. */
    public Future<Void> listen(SocketAddress address) {
        return server.listen(address).mapEmpty();
    }

    /** Serves what is under way and what still comes, and returns when nothing is left or the grace is over. */
    public Future<Void> drain() {
        stoppingAt = context.now();
        double endAt = stoppingAt + context.bounds().graceMillis() - END_BEFORE_GRACE_MILLIS;
        Promise<Void> drained = Promise.promise();
        context.vertx().setTimer(CLOSE_IDLE_MILLIS, timer -> closeIdle());
        context.vertx().setPeriodic(CLOSE_IDLE_MILLIS + LOOK_MILLIS, LOOK_MILLIS, timer -> {
            if (active == 0 || context.now() >= endAt) {
                context.vertx().cancelTimer(timer);
                LogEvent.of("drained").with("left", active).info(log);
                drained.tryComplete();
            }
        });
        return drained.future();
    }

    private void closeIdle() {
        for (Map.Entry<HttpConnection, Integer> connection :
                Map.copyOf(connections).entrySet()) {
            if (connection.getValue() == 0) {
                connection.getKey().close();
            }
        }
    }

    private void connected(HttpConnection connection) {
        connections.put(connection, 0);
        connection.exceptionHandler(failure -> LogEvent.of("caller-connection-failed")
                .with("address", connection.remoteAddress())
                .with("reason", failure.getMessage())
                .debug(log));
        connection.closeHandler(closed -> connections.remove(connection));
    }

    private void take(HttpServerRequest request) {
        RequestFacts facts = context.dialect().request(request.headers());
        HttpConnection connection = request.connection();
        active++;
        connections.merge(connection, 1, Integer::sum);
        Exchange exchange = new Exchange(context, request, facts, () -> ended(connection));
        if (context.now() >= stoppingAt) {
            request.response().putHeader("connection", "close");
            request.response().endHandler(sent -> connection.close());
        }
        if (context.now() >= stoppingAt + lastAdmissionMillis()) {
            exchange.refuse(ErrorType.SHUTTING_DOWN, STOPPING_RETRY_MILLIS);
            return;
        }
        request.exceptionHandler(failure -> exchange.note("request-broken"));
        Buffer body = Buffer.buffer();
        request.handler(bytes -> {
            if (exchange.ended()) {
                return;
            }
            body.appendBuffer(bytes);
            if (body.length() > maxBodyBytes()) {
                exchange.fail(413, ErrorType.BODY_TOO_LARGE, 0);
            }
        });
        request.endHandler(read -> whenComplete(exchange, STARTING_LOOKS, () -> route(exchange, request, body)));
    }

    /** Returns how long after the signal to stop requests are taken: what comes later might not end in time. */
    private double lastAdmissionMillis() {
        return context.bounds().graceMillis() * LAST_ADMISSION_SHARE;
    }

    private int maxBodyBytes() {
        return context.fleet().table().map(table -> table.limits().bodyBytes()).orElse(MAX_BODY_BYTES);
    }

    /** Goes on as soon as the fleet is known: right after a start that is sooner than a caller could come back. */
    private void whenComplete(Exchange exchange, int looks, Runnable next) {
        if (exchange.ended()) {
            return;
        }
        if (context.fleet().complete()) {
            next.run();
        } else if (looks > 0) {
            context.vertx().setTimer(LOOK_MILLIS, timer -> whenComplete(exchange, looks - 1, next));
        } else {
            exchange.refuse(ErrorType.NO_CONFIGURATION, NO_CONFIGURATION_RETRY_MILLIS);
        }
    }

    private void ended(HttpConnection connection) {
        active--;
        connections.computeIfPresent(connection, (c, count) -> Math.max(0, count - 1));
    }

    private void route(Exchange exchange, HttpServerRequest request, Buffer body) {
        if (exchange.ended()) {
            return;
        }
        RoutingTable table = context.fleet().table().orElseThrow();
        String host = request.getHeader("host");
        Optional<RelayRoute> route = host == null ? Optional.empty() : table.route(host, request.path());
        if (route.isEmpty()) {
            exchange.note("version:" + table.version());
            exchange.fail(404, ErrorType.UNKNOWN_ROUTE, 0);
            return;
        }
        Optional<Customer> customer = table.customer(exchange.facts().apiKey().orElse(null));
        if (customer.isEmpty() && table.keyed() && !route.get().open()) {
            exchange.note("version:" + table.version());
            exchange.fail(401, ErrorType.UNAUTHENTICATED, 0);
            return;
        }
        String name = route.get().pick(context.random().nextDouble());
        Optional<RelayService> service = table.service(name);
        Flow[] flow = new Flow[1];
        exchange.admit(route.get(), customer, () -> {
            if (flow[0] != null) {
                flow[0].cancel();
            }
        });
        if (service.isEmpty()) {
            exchange.refuse(ErrorType.NO_UPSTREAM, NO_CONFIGURATION_RETRY_MILLIS);
            return;
        }
        flow[0] = flow(exchange, request, body, service.get());
        flow[0].start();
    }

    private Flow flow(Exchange exchange, HttpServerRequest request, Buffer body, RelayService service) {
        UpstreamClient.Outgoing outgoing = new UpstreamClient.Outgoing(
                request.method(), request.uri(), ConnectionHeaders.strip(request.headers()), body);
        boolean generation = exchange.route().kind() == RequestKind.STREAM
                && service.engine().isPresent();
        return generation
                ? new StreamFlow(context, exchange, client, outgoing, service)
                : new PlainFlow(context, exchange, plainLoads, client, outgoing, service);
    }
}
