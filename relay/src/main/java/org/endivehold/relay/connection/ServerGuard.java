package org.endivehold.relay.connection;

import io.netty.channel.ChannelHandlerContext;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.impl.HttpServerConnection;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Supplier;
import org.endivehold.misc.LogEvent;
import org.endivehold.misc.Ticker;
import org.endivehold.relay.limit.HeldBytes;
import org.endivehold.relay.route.CallerLimits;
import org.jboss.logging.Logger;

/**
 * Applies the limits of one HTTP server to its connections, see {@link ConnectionGuard}. It runs on the event loop of
 * the server.
 */
public final class ServerGuard {
    /** Interval at which the times of connections are checked while there are any, in milliseconds. */
    private static final long SWEEP_MILLIS = 250;
    /** Bodies in very small chunks that are decoded at the same time, as each chunk takes as long as a large one. */
    private static final int MAX_SMALL_CHUNKED = 4;

    private static final Logger log = Logger.getLogger(ServerGuard.class);

    private final Vertx vertx;
    private final Ticker ticker;
    private final String server;
    private final Supplier<CallerLimits> limits;
    private final HeldBytes heads;
    private final OpenConnections open;
    private final Set<ConnectionGuard> guards = new LinkedHashSet<>();
    private long timer = -1;
    private int smallChunked;

    /**
     * Creates the guard of a server.
     *
     * @param vertx runs the checks
     * @param ticker the clock
     * @param server name of the server, for the log
     * @param maxConnections most connections that are open at the same time
     * @param limits the configuration's limits that are in force
     * @param heads the request heads that are held, of all servers
     */
    public ServerGuard(
            Vertx vertx,
            Ticker ticker,
            String server,
            int maxConnections,
            Supplier<CallerLimits> limits,
            HeldBytes heads) {
        this.vertx = vertx;
        this.ticker = ticker;
        this.server = server;
        this.limits = limits;
        this.heads = heads;
        open = new OpenConnections(maxConnections);
    }

    /** Guards a connection from its first byte on; to be called when the server reports it. */
    public void guard(HttpConnection connection) {
        ChannelHandlerContext context = ((HttpServerConnection) connection).channelHandlerContext();
        ConnectionGuard guard = new ConnectionGuard(this, context.channel());
        guards.add(guard);
        if (timer < 0) {
            timer = vertx.setPeriodic(SWEEP_MILLIS, swept -> sweep());
        }
        context.pipeline().addFirst(guard);
        context.pipeline().addBefore(context.name(), "exchanges", guard.exchanges());
        guard.begin(
                heads, open.open(connection.remoteAddress().host(), now(), () -> guard.cut("too-many-connections")));
    }

    private void sweep() {
        double now = now();
        CallerLimits current = limits.get();
        Set.copyOf(guards).forEach(guard -> guard.check(now, current));
    }

    CallerLimits limits() {
        return limits.get();
    }

    double now() {
        return (double) ticker.millis();
    }

    void afterMillis(long millis, Runnable action) {
        vertx.setTimer(millis, timed -> action.run());
    }

    /** Returns whether another body in very small chunks may be decoded; {@link #endSmallChunked} gives it back. */
    boolean beginSmallChunked() {
        if (smallChunked >= MAX_SMALL_CHUNKED) {
            return false;
        }
        smallChunked++;
        return true;
    }

    void endSmallChunked() {
        smallChunked--;
    }

    void closed(ConnectionGuard guard) {
        guards.remove(guard);
        if (guards.isEmpty() && timer >= 0) {
            vertx.cancelTimer(timer);
            timer = -1;
        }
    }

    /** Logs that a connection is refused or closed. */
    void log(String address, String reason) {
        LogEvent.of("connection-limited")
                .with("server", server)
                .with("address", address)
                .with("reason", reason)
                .with("connections", open.size())
                .info(log);
    }
}
