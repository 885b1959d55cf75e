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
import org.endivehold.error.ErrorType;
import org.endivehold.misc.LogEvent;
import org.endivehold.relay.peer.PeerMessage;
import org.endivehold.relay.peer.PeerStream;
import org.jboss.logging.Logger;

/** HTTP server for callers: reads their requests, has them served, and drains them when the daemon stops. */
public final class CallerServer {
    /** Longest request headers, in bytes; the configuration may set a lower limit, but it is not applied. */
    private static final int MAX_HEADER_BYTES = 65_536;
    /** Longest request line, in bytes. */
    private static final int MAX_REQUEST_LINE_BYTES = 16_384;
    /** Time without traffic after which a connection is closed, in seconds; longer than any response takes. */
    private static final int IDLE_TIMEOUT_SECONDS = 60;
    /**
     * Time from the stop signal until idle connections are closed, in milliseconds: by then the load balancer has
     * noticed that this daemon is stopping.
     */
    private static final long CLOSE_IDLE_DELAY_MILLIS = 2_600;
    /**
     * Part of the grace period in which new requests are still accepted: the load balancer keeps sending some while few
     * other daemons are ready.
     */
    private static final double ADMISSION_SHARE = 0.37;
    /** Retry-after of requests that a stopping daemon refuses, in milliseconds: short, as another daemon takes them. */
    private static final int STOPPING_RETRY_AFTER_MILLIS = 50;
    /** Time before the end of the grace period at which draining ends with requests still active, in milliseconds. */
    private static final long END_BEFORE_GRACE_MILLIS = 700;
    /** Interval at which active requests and the fleet's state are checked, in milliseconds. */
    private static final long POLL_MILLIS = 50;
    /** Checks for a known fleet before a request is refused; together they last longer than a daemon's start. */
    private static final int MAX_FLEET_POLLS = 14;
    /** Longest request body while no configuration is known that sets the limit, in bytes. */
    private static final int DEFAULT_MAX_BODY_BYTES = 4 << 20;
    /** Retry-after of requests that are refused for lack of a configuration, in milliseconds. */
    private static final int NO_CONFIGURATION_RETRY_AFTER_MILLIS = 500;

    private static final Logger log = Logger.getLogger(CallerServer.class);

    private final RelayContext context;
    private final HttpServer server;
    private final RequestDispatcher dispatcher;
    private final ForwardReceiver forwards;
    private final ActiveRequests active = new ActiveRequests();
    private final Map<HttpConnection, Integer> requestsByConnection = new HashMap<>();
    private double stoppingAt = Double.POSITIVE_INFINITY;

    /** Creates the server; {@link #listen} opens its port. */
    public CallerServer(RelayContext context) {
        this.context = context;
        dispatcher = new RequestDispatcher(context);
        forwards = new ForwardReceiver(context, dispatcher, active, () -> context.now() >= stoppingAt);
        server = context.vertx()
                .createHttpServer(new HttpServerOptions()
                        .setTcpNoDelay(true)
                        .setMaxHeaderSize(MAX_HEADER_BYTES)
                        .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
                        .setIdleTimeout(IDLE_TIMEOUT_SECONDS)
                        .setHandle100ContinueAutomatically(true));
        server.requestHandler(this::receive);
        server.connectionHandler(this::trackConnection);
    }

    /** Opens the port; the future fails if the address cannot be bound. */
    public Future<Void> listen(SocketAddress address) {
        return server.listen(address).mapEmpty();
    }

    /** Takes or declines a request that another daemon cannot deliver. */
    public void offered(PeerMessage.ForwardOffer offer, PeerStream stream) {
        forwards.offered(offer, stream);
    }

    /**
     * Stops the server gradually: closes idle connections after a delay, refuses new requests later on, and completes
     * when no request is active or shortly before the grace period ends.
     */
    public Future<Void> drain() {
        stoppingAt = context.now();
        double endAt = stoppingAt + context.bounds().graceMillis() - END_BEFORE_GRACE_MILLIS;
        Promise<Void> drained = Promise.promise();
        context.vertx().setTimer(CLOSE_IDLE_DELAY_MILLIS, timer -> closeIdle());
        context.vertx().setPeriodic(CLOSE_IDLE_DELAY_MILLIS + POLL_MILLIS, POLL_MILLIS, timer -> {
            if (active.count() == 0 || context.now() >= endAt) {
                context.vertx().cancelTimer(timer);
                LogEvent.of("drained").with("left", active.count()).info(log);
                drained.tryComplete();
            }
        });
        return drained.future();
    }

    private void closeIdle() {
        for (Map.Entry<HttpConnection, Integer> connection :
                Map.copyOf(requestsByConnection).entrySet()) {
            if (connection.getValue() == 0) {
                connection.getKey().close();
            }
        }
    }

    private void trackConnection(HttpConnection connection) {
        requestsByConnection.put(connection, 0);
        connection.exceptionHandler(failure -> LogEvent.of("caller-connection-failed")
                .with("address", connection.remoteAddress())
                .with("reason", failure.getMessage())
                .debug(log));
        connection.closeHandler(closed -> requestsByConnection.remove(connection));
    }

    private void receive(HttpServerRequest request) {
        CallerRequestHead requestHead = context.headerCodec().parseRequest(request.headers());
        HttpConnection connection = request.connection();
        active.begin();
        requestsByConnection.merge(connection, 1, Integer::sum);
        Exchange exchange =
                new Exchange(context, new HttpResponseChannel(request), requestHead, () -> requestEnded(connection));
        if (context.now() >= stoppingAt) {
            request.response().putHeader("connection", "close");
            request.response().endHandler(sent -> connection.close());
        }
        if (context.now() >= stoppingAt + admissionMillis()) {
            exchange.refuse(ErrorType.SHUTTING_DOWN, STOPPING_RETRY_AFTER_MILLIS);
            return;
        }
        request.exceptionHandler(failure -> exchange.addStep("request-broken"));
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
        request.endHandler(read -> whenFleetKnown(exchange, MAX_FLEET_POLLS, () -> route(exchange, request, body)));
    }

    /**
     * Returns how long after the stop signal requests are accepted: later ones might not end within the grace period.
     */
    private double admissionMillis() {
        return context.bounds().graceMillis() * ADMISSION_SHARE;
    }

    private int maxBodyBytes() {
        return context.fleet()
                .table()
                .map(routingTable -> routingTable.limits().bodyBytes())
                .orElse(DEFAULT_MAX_BODY_BYTES);
    }

    /**
     * Continues as soon as the fleet is known: right after the daemon's start, waiting is quicker than a refusal that
     * makes the caller retry.
     */
    private void whenFleetKnown(Exchange exchange, int polls, Runnable next) {
        if (exchange.ended()) {
            return;
        }
        if (context.fleet().complete()) {
            next.run();
        } else if (polls > 0) {
            context.vertx().setTimer(POLL_MILLIS, timer -> whenFleetKnown(exchange, polls - 1, next));
        } else {
            exchange.refuse(ErrorType.NO_CONFIGURATION, NO_CONFIGURATION_RETRY_AFTER_MILLIS);
        }
    }

    private void requestEnded(HttpConnection connection) {
        active.end();
        requestsByConnection.computeIfPresent(connection, (c, count) -> Math.max(0, count - 1));
    }

    private void route(Exchange exchange, HttpServerRequest request, Buffer body) {
        if (!exchange.ended()) {
            dispatcher.dispatch(
                    exchange,
                    new IncomingRequest(
                            request.path(),
                            new UpstreamClient.OutgoingRequest(
                                    request.method(),
                                    request.uri(),
                                    ConnectionHeaders.strip(request.headers()),
                                    body)));
        }
    }
}
