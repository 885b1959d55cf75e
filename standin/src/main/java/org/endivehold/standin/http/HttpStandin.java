package org.endivehold.standin.http;

import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.endivehold.standin.log.LogBody;
import org.endivehold.standin.log.StandinLog;
import org.endivehold.upstream.protocol.ProtocolJson;

/**
 * Base of stand-ins: an HTTP server where {@code GET /log} returns the log, {@code GET /faults} the faults in effect,
 * and {@code PUT /faults} replaces the faults. A stand-in is a verticle and runs on one event loop.
 *
 * @param <F> record type of the injected faults
 */
public abstract class HttpStandin<F> extends VerticleBase {
    /** Address on which stand-ins listen. */
    public static final String ADDRESS = "127.0.0.1";

    private static final String FAULTS_PATH = "/faults";
    private static final String LOG_PATH = "/log";
    /** Vert.x disables the idle timeout at 0. */
    private static final int NO_IDLE_TIMEOUT = 0;

    private final int requestedPort;
    private final Class<F> faultsType;
    private final StandinLog log;
    private final Set<HttpConnection> connections = new HashSet<>();
    private volatile F faults;
    private volatile int port;

    /**
     * Creates a stand-in.
     *
     * @param requestedPort TCP port; 0 for any free one
     * @param faults faults in effect at start
     * @param faultsType record class of the faults
     * @param log receives the stand-in's events
     */
    protected HttpStandin(int requestedPort, F faults, Class<F> faultsType, StandinLog log) {
        this.requestedPort = requestedPort;
        this.faults = faults;
        this.faultsType = faultsType;
        this.log = log;
    }

    @Override
    public Future<?> start() {
        HttpServer server = vertx.createHttpServer(
                        new HttpServerOptions().setIdleTimeout(NO_IDLE_TIMEOUT).setCompressionSupported(false))
                .connectionHandler(this::trackConnection)
                .requestHandler(this::dispatch);
        return server.listen(requestedPort, ADDRESS).onSuccess(listening -> port = listening.actualPort());
    }

    /**
     * Returns the port that the server listens on.
     *
     * @return TCP port; 0 until started
     */
    public int port() {
        return port;
    }

    /**
     * Returns the log of the stand-in's events.
     *
     * @return the log given at creation; other stand-ins may write to it too
     */
    public StandinLog log() {
        return log;
    }

    /**
     * Returns the faults in effect.
     *
     * @return the faults set last
     */
    public F faults() {
        return faults;
    }

    /**
     * Replaces the faults; may be called from any thread.
     *
     * @param value the new faults
     */
    public void faults(F value) {
        faults = value;
        context.runOnContext(ignored -> faultsChanged());
    }

    /** Called on the stand-in's event loop after the faults have been replaced; does nothing by default. */
    protected void faultsChanged() {}

    /**
     * Serves a request to a path other than {@code /log} and {@code /faults}.
     *
     * @param request the request
     */
    protected abstract void serve(HttpServerRequest request);

    /** Closes all connections without sending pending answers. */
    protected void closeConnections() {
        for (HttpConnection connection : List.copyOf(connections)) {
            connection.close();
        }
    }

    /**
     * Sends a JSON answer unless the response is closed.
     *
     * @param request the request
     * @param status HTTP status
     * @param body object that is written as JSON
     */
    protected static void reply(HttpServerRequest request, int status, Object body) {
        if (!request.response().closed()) {
            request.response()
                    .setStatusCode(status)
                    .putHeader("content-type", "application/json")
                    .end(Buffer.buffer(ProtocolJson.write(body)));
        }
    }

    private void trackConnection(HttpConnection connection) {
        connections.add(connection);
        connection.closeHandler(ignored -> connections.remove(connection));
    }

    private void dispatch(HttpServerRequest request) {
        switch (request.path()) {
            case LOG_PATH -> reply(request, 200, new LogBody(log.dropped(), log.events()));
            case FAULTS_PATH -> serveFaults(request);
            default -> serve(request);
        }
    }

    private void serveFaults(HttpServerRequest request) {
        if (!request.method().equals(HttpMethod.PUT)) {
            reply(request, 200, faults);
            return;
        }
        request.body().onSuccess(body -> {
            ProtocolJson.read(body.getBytes(), faultsType).ifPresent(this::faults);
            reply(request, 200, faults);
        });
    }
}
