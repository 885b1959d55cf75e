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
 * A stand-in behind an HTTP server. {@code GET /log} returns its log, {@code GET /faults} the faults in effect, and
 * {@code PUT /faults} replaces them. Deployed as a verticle, so that each stand-in has an event loop to itself.
 *
 * @param <F> record of faults
 */
public abstract class HttpStandin<F> extends VerticleBase {
    /** Address on which stand-ins listen. */
    public static final String ADDRESS = "127.0.0.1";

    private static final String FAULTS = "/faults";
    private static final String LOG = "/log";
    private static final int IDLE_SECONDS = 0;

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
     * @param faults the faults at first
     * @param faultsType record of faults
     * @param log takes what it does
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
                        new HttpServerOptions().setIdleTimeout(IDLE_SECONDS).setCompressionSupported(false))
                .connectionHandler(this::connected)
                .requestHandler(this::dispatch);
        return server.listen(requestedPort, ADDRESS).onSuccess(listening -> port = listening.actualPort());
    }

    /**
     * Returns the port.
     *
     * @return TCP port once started
     */
    public int port() {
        return port;
    }

    /**
     * Returns the log.
     *
     * @return what the stand-in has done
     */
    public StandinLog log() {
        return log;
    }

    /**
     * Returns the faults in effect.
     *
     * @return the record
     */
    public F faults() {
        return faults;
    }

    /**
     * Replaces the faults; from any thread.
     *
     * @param value the record
     */
    public void faults(F value) {
        faults = value;
        context.runOnContext(ignored -> faultsChanged());
    }

    /** Called on the stand-in's event loop after the faults were replaced. */
    protected void faultsChanged() {}

    /**
     * Serves a request to the stand-in's own interface.
     *
     * @param request the request
     */
    protected abstract void serve(HttpServerRequest request);

    /** Closes all connections without another word. */
    protected void closeConnections() {
        for (HttpConnection connection : List.copyOf(connections)) {
            connection.close();
        }
    }

    /**
     * Answers with JSON.
     *
     * @param request the request
     * @param status HTTP status
     * @param body a record
     */
    protected static void reply(HttpServerRequest request, int status, Object body) {
        if (!request.response().closed()) {
            request.response()
                    .setStatusCode(status)
                    .putHeader("content-type", "application/json")
                    .end(Buffer.buffer(ProtocolJson.write(body)));
        }
    }

    private void connected(HttpConnection connection) {
        connections.add(connection);
        connection.closeHandler(ignored -> connections.remove(connection));
    }

    private void dispatch(HttpServerRequest request) {
        switch (request.path()) {
            case LOG -> reply(request, 200, new LogBody(log.dropped(), log.events()));
            case FAULTS -> serveFaults(request);
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
