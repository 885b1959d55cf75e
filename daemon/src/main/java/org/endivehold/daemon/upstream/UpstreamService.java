package org.endivehold.daemon.upstream;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.PoolOptions;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.endivehold.config.ConfigurationSnapshot;
import org.endivehold.config.Upstream;
import org.endivehold.daemon.DaemonContext;
import org.endivehold.daemon.config.ActiveConfiguration;
import org.endivehold.daemon.kernel.Kernel;
import org.endivehold.daemon.kernel.Service;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.http.HttpClients;
import org.endivehold.misc.UpstreamName;
import org.endivehold.upstream.Engine;
import org.endivehold.upstream.PlainService;

/**
 * Holds an adapter for each upstream of the active configuration, and the HTTP connections that the adapters share. An
 * upstream whose address or kind changes gets a new adapter; the adapter of one that is no longer configured is
 * removed, but running streams keep using it.
 */
public final class UpstreamService implements Service, UpstreamDirectory {
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final int MAX_STREAM_CONNECTIONS = 512;
    private static final int MAX_CONTROL_CONNECTIONS = 8;
    private static final int MAX_QUEUED_REQUESTS = 1_024;

    private final Vertx vertx;
    private final HttpClient streamClient;
    private final HttpClient controlClient;
    private final Map<UpstreamName, Upstream> configured = new HashMap<>();
    private final Map<UpstreamName, Engine> engines = new HashMap<>();
    private final Map<UpstreamName, PlainService> services = new HashMap<>();

    /**
     * Creates the service.
     *
     * @param context the daemon's context
     */
    public UpstreamService(DaemonContext context) {
        vertx = context.vertx();
        streamClient = newClient(vertx, MAX_STREAM_CONNECTIONS);
        controlClient = newClient(vertx, MAX_CONTROL_CONNECTIONS);
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public Set<String> dependencies() {
        return Set.of(ActiveConfiguration.NAME);
    }

    @Override
    public Future<Void> start(Kernel kernel) {
        try {
            kernel.find(ActiveConfiguration.NAME, ActiveConfiguration.class).listen(this::activated);
        } catch (EndiveholdException e) {
            return Future.failedFuture(e);
        }
        return Future.succeededFuture();
    }

    @Override
    public Future<Void> stop() {
        return streamClient.close().eventually(controlClient::close);
    }

    @Override
    public Engine engine(UpstreamName name) throws EndiveholdException {
        return requireAdapter(engines.get(name), name);
    }

    @Override
    public PlainService plainService(UpstreamName name) throws EndiveholdException {
        return requireAdapter(services.get(name), name);
    }

    private static <T> T requireAdapter(T adapter, UpstreamName name) throws EndiveholdException {
        if (adapter == null) {
            throw new EndiveholdException(ErrorType.NO_UPSTREAM, name);
        }
        return adapter;
    }

    private void activated(ConfigurationSnapshot snapshot) {
        Map<UpstreamName, Upstream> next = snapshot.configuration().upstreams();
        configured.keySet().retainAll(next.keySet());
        engines.keySet().retainAll(next.keySet());
        services.keySet().retainAll(next.keySet());
        for (Upstream upstream : next.values()) {
            Upstream before = configured.put(upstream.name(), upstream);
            if (before == null || !sameAddress(before, upstream)) {
                createAdapter(upstream);
            }
        }
    }

    private void createAdapter(Upstream upstream) {
        UpstreamName name = upstream.name();
        engines.remove(name);
        services.remove(name);
        switch (upstream.kind()) {
            case ENGINE -> engines.put(name, new HttpEngine(vertx, streamClient, controlClient, upstream));
            case PLAIN -> services.put(name, new HttpPlainService(vertx, streamClient, controlClient, upstream));
            default -> throw new IllegalArgumentException(upstream.kind().name());
        }
    }

    private static boolean sameAddress(Upstream a, Upstream b) {
        return a.kind() == b.kind() && a.port() == b.port() && a.address().equals(b.address());
    }

    /**
     * Returns a client that opens a connection for each call. Answers do not tell to which call they belong, so one
     * that comes a second time on a connection that is used again would be taken for that of the next call.
     */
    static HttpClient newClient(Vertx vertx, int perUpstream) {
        HttpClientOptions options = new HttpClientOptions()
                .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
                .setKeepAlive(false);
        PoolOptions pool = new PoolOptions().setHttp1MaxSize(perUpstream).setMaxWaitQueueSize(MAX_QUEUED_REQUESTS);
        return HttpClients.create(vertx, options, pool);
    }
}
