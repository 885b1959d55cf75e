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
import java.util.concurrent.TimeUnit;
import org.endivehold.error.ErrorType;
import org.endivehold.misc.LogEvent;
import org.endivehold.relay.connection.ServerGuard;
import org.endivehold.relay.limit.HeldBytes;
import org.endivehold.relay.peer.PeerMessage;
import org.endivehold.relay.peer.PeerStream;
import org.endivehold.relay.route.CallerLimits;
import org.endivehold.relay.route.RoutingTable;
import org.jboss.logging.Logger;

/** HTTP server for callers: reads their requests, has them served, and drains them when the daemon stops. */
public final class CallerServer {
    /** Longest request headers that can be configured, in bytes; the limit in force is the configuration's. */
    private static final int MAX_HEADER_BYTES = 65_536;
    /** Longest request line, in bytes. */
    private static final int MAX_REQUEST_LINE_BYTES = 16_384;
    /** Time without traffic after which a connection is closed, in seconds; longer than any response takes. */
    private static final int IDLE_TIMEOUT_SECONDS = 60;
    /** Retry-after of requests that a stopping daemon refuses, in milliseconds: short, as another daemon takes them. */
    private static final int STOPPING_RETRY_AFTER_MILLIS = 50;
    /** Interval at which active requests and the fleet's state are checked, in milliseconds. */
    private static final long POLL_MILLIS = 50;
    /** Checks for a known fleet before a request is refused; together they last longer than a daemon's start. */
    private static final int MAX_FLEET_POLLS = 14;
    /**
     * Receive buffer of a connection in the kernel, in bytes. What it holds is decoded before the end of a connection
     * is noticed.
     */
    private static final int RECEIVE_BUFFER_BYTES = 131_072;
    /** Retry-after of requests that are refused for lack of a configuration, in milliseconds. */
    private static final int NO_CONFIGURATION_RETRY_AFTER_MILLIS = 500;

    private static final Logger log = Logger.getLogger(CallerServer.class);

    private final RelayContext context;
    private final ServerGuard guard;
    private final HttpServer server;
    private final RequestDispatcher dispatcher;
    private final ForwardReceiver forwards;
    private final ActiveRequests active = new ActiveRequests();
    private final Map<HttpConnection, Integer> requestsByConnection = new HashMap<>();
    private DrainSequence sequence = DrainSequence.serving();

    /**
     * Creates the server; {@link #listen} opens its port.
     *
     * @param context what serves the requests
     * @param maxConnections most connections that are open at the same time
     * @param heads the request heads that are held, of all servers
     */
    public CallerServer(RelayContext context, int maxConnections, HeldBytes heads) {
        this.context = context;
        guard = new ServerGuard(context.vertx(), context.ticker(), "callers", maxConnections, this::limits, heads);
        dispatcher = new RequestDispatcher(context);
        forwards = new ForwardReceiver(context, dispatcher, active, () -> sequence.isStopping());
        server = context.vertx()
                .createHttpServer(new HttpServerOptions()
                        .setTcpNoDelay(true)
                        .setMaxHeaderSize(MAX_HEADER_BYTES)
                        .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
                        .setIdleTimeout(IDLE_TIMEOUT_SECONDS)
                        .setHttp2ClearTextEnabled(false)
                        .setReceiveBufferSize(RECEIVE_BUFFER_BYTES)
                        .setHandle100ContinueAutomatically(true));
        server.requestHandler(this::receiveGuarded);
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
     * The two ends of a stop.
     *
     * @param refusing completes when no further request is accepted
     * @param drained completes when the port is closed and all responses have been sent, at the latest shortly before
     *     the end of the grace period
     */
    public record Drain(Future<Void> refusing, Future<Void> drained) {}

    /**
     * Stops the server gradually: closes idle connections after a delay, refuses new requests later on, and closes the
     * port when no request is active, see {@link DrainSequence}.
     */
    public Drain drain() {
        sequence = DrainSequence.begin(context.now(), context.bounds().graceMillis());
        Promise<Void> refusing = Promise.promise();
        Promise<Void> drained = Promise.promise();
        context.vertx().setTimer(DrainSequence.CLOSE_IDLE_DELAY_MILLIS, timer -> closeIdle());
        context.vertx().setPeriodic(POLL_MILLIS, timer -> {
            DrainSequence.Phase phase = sequence.update(context.now(), active.count());
            if (phase.compareTo(DrainSequence.Phase.REFUSING) >= 0 && refusing.tryComplete()) {
                LogEvent.of("admission-ended").with("active", active.count()).info(log);
            }
            if (phase == DrainSequence.Phase.CLOSING) {
                context.vertx().cancelTimer(timer);
                closePort().onComplete(drained);
            }
        });
        return new Drain(refusing.future(), drained.future());
    }

    /** Closes the port, and each open connection once the response on it has been sent. */
    private Future<Void> closePort() {
        LogEvent.of("callers-port-closed")
                .with("active", active.count())
                .with("connections", requestsByConnection.size())
                .info(log);
        return server.shutdown(sequence.millisUntilCut(context.now()), TimeUnit.MILLISECONDS)
                .onComplete(done ->
                        LogEvent.of("drained").with("left", active.count()).info(log));
    }

    private void closeIdle() {
        for (Map.Entry<HttpConnection, Integer> connection :
                Map.copyOf(requestsByConnection).entrySet()) {
            if (connection.getValue() == 0) {
                connection.getKey().close();
            }
        }
    }

    private CallerLimits limits() {
        return context.fleet().table().map(RoutingTable::limits).orElse(CallerLimits.DEFAULT);
    }

    private void trackConnection(HttpConnection connection) {
        guard.guard(connection);
        requestsByConnection.put(connection, 0);
        connection.exceptionHandler(failure -> LogEvent.of("caller-connection-failed")
                .with("address", connection.remoteAddress())
                .with("reason", failure.getMessage())
                .debug(log));
        connection.closeHandler(closed -> requestsByConnection.remove(connection));
    }

    /** Receives a request; if that throws, nothing would answer it any more, so its connection is closed. */
    private void receiveGuarded(HttpServerRequest request) {
        try {
            receive(request);
        } catch (RuntimeException e) {
            LogEvent.of("request-not-received")
                    .with("address", request.remoteAddress())
                    .with("reason", e)
                    .warn(log);
            request.connection().close();
        }
    }

    private void receive(HttpServerRequest request) {
        CallerRequestHead requestHead = context.headerCodec().parseRequest(request.headers());
        HttpConnection connection = request.connection();
        active.begin();
        requestsByConnection.merge(connection, 1, Integer::sum);
        RequestBody body = new RequestBody(context);
        Exchange exchange = new Exchange(context, new HttpResponseChannel(request), requestHead, () -> {
            body.release();
            requestEnded(connection);
        });
        if (sequence.isStopping()) {
            closeAfterResponse(request);
        }
        if (refusedAsStopping(exchange)) {
            return;
        }
        request.exceptionHandler(failure -> exchange.addStep("request-broken"));
        body.read(
                request,
                exchange,
                limits().bodyBytes(),
                bytes -> whenFleetKnown(
                        exchange, MAX_FLEET_POLLS, () -> exchange.runGuarded(() -> route(exchange, request, bytes))));
    }

    /** Refuses a request if this daemon takes no more; returns whether it does not. */
    private boolean refusedAsStopping(Exchange exchange) {
        boolean refused = !sequence.admits(context.now());
        if (refused) {
            exchange.refuse(ErrorType.SHUTTING_DOWN, STOPPING_RETRY_AFTER_MILLIS);
        }
        return refused;
    }

    /** Closes a connection after its response; first the rest of the request is read, or the response might be lost. */
    private static void closeAfterResponse(HttpServerRequest request) {
        Promise<Void> sent = Promise.promise();
        request.response().putHeader("connection", "close");
        request.response().endHandler(done -> sent.complete());
        Future.join(sent.future(), request.end())
                .onComplete(done -> request.connection().close());
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

    /** Dispatches a request that is complete. Admission may have ended while its body was read. */
    private void route(Exchange exchange, HttpServerRequest request, Buffer body) {
        if (!exchange.ended() && !refusedAsStopping(exchange)) {
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
