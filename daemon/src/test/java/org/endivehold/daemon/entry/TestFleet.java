package org.endivehold.daemon.entry;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.SocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;
import org.endivehold.relay.RelaySettings;
import org.endivehold.relay.connection.ConnectionLimits;
import org.endivehold.relay.route.EngineProfile;
import org.endivehold.relay.route.RelayRoute;
import org.endivehold.relay.route.RelayService;
import org.endivehold.relay.route.RequestKind;
import org.endivehold.relay.route.RoutingTable;
import org.endivehold.relay.route.ServiceShare;
import org.endivehold.relay.route.UpstreamEntry;
import org.endivehold.relay.serve.EngineMemoryClient;
import org.endivehold.relay.serve.RelayBounds;
import org.endivehold.relay.state.StoreDecoder;
import org.endivehold.relay.state.Upstream;

/**
 * Whole daemons on the loopback interface before upstreams of a plain service and of an engine service. Each daemon
 * reaches each upstream over a link of its own, which can be cut.
 */
final class TestFleet implements AutoCloseable {
    /** The kinds of requests: path, method and whether a prompt is generated from. */
    enum Kind {
        SAFE,
        UNSAFE,
        STREAM;

        String path() {
            return "/" + name().toLowerCase(Locale.ROOT) + "/x";
        }
    }

    /** An answer as a caller sees it. */
    record Answer(int status, String body, boolean complete, long millis) {}

    private static final int LIMIT_SECONDS = 20;
    /** For callers, readiness, peers and metrics. */
    private static final int PORTS_OF_A_DAEMON = 4;

    private static final int TIMEOUT_MILLIS = 3_000;
    private static final int SERVICE_SIZE = 4;
    private static final EngineProfile PROFILE = new EngineProfile(8, 100_000, 1, 5, 0.5, 0, 1_000, 0, 2_048);

    private final Vertx outside = Vertx.vertx();
    private final HttpClient callers = outside.createHttpClient(
            new HttpClientOptions().setConnectTimeout(1_000), new PoolOptions().setHttp1MaxSize(200));
    private final ConcurrentSkipListMap<String, Buffer> items = new ConcurrentSkipListMap<>();
    private final Map<String, TestUpstream> upstreams = new HashMap<>();
    private final List<Daemon> daemons = new ArrayList<>();

    /** A daemon, its client of the store, and its links to the upstreams, by their ids. */
    private record Daemon(
            Vertx vertx,
            EntryDaemon daemon,
            InMemoryStore store,
            RelaySettings settings,
            Map<String, UpstreamLink> links) {}

    TestFleet(int size) throws Exception {
        items.put("operators/configuration", Buffer.buffer("1"));
        for (int i = 0; i < SERVICE_SIZE; i++) {
            for (String service : List.of("plain", "engines")) {
                String id = service + "-" + i;
                upstreams.put(id, new TestUpstream(outside));
                items.put("up/" + id, Buffer.buffer(id));
            }
        }
        FreePorts ports = FreePorts.find(size * PORTS_OF_A_DAEMON);
        List<Integer> peerPorts = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            peerPorts.add(ports.next());
        }
        for (int i = 0; i < size; i++) {
            daemons.add(daemon(i, peerPorts, ports));
        }
        for (Daemon daemon : daemons) {
            await(daemon.daemon().start());
        }
    }

    private Daemon daemon(int index, List<Integer> peerPorts, FreePorts ports) throws Exception {
        Map<String, UpstreamLink> links = new HashMap<>();
        for (Map.Entry<String, TestUpstream> upstream : upstreams.entrySet()) {
            links.put(upstream.getKey(), new UpstreamLink(upstream.getValue().address()));
        }
        List<SocketAddress> seeds = peerPorts.stream()
                .map(port -> SocketAddress.inetSocketAddress(port, "127.0.0.1"))
                .toList();
        RelaySettings settings = new RelaySettings(
                "daemon-" + index,
                "zone",
                1,
                local(ports.next()),
                local(ports.next()),
                seeds.get(index),
                local(ports.next()),
                seeds,
                local(1),
                1_000,
                new RelayBounds(4_000, 1, 5, 0.2, 100, 10_000, 3_000),
                ConnectionLimits.of(4_100, 330L << 20, 120L << 20));
        Vertx vertx = EntryDaemon.createVertx();
        InMemoryStore store = new InMemoryStore(
                vertx, items, key -> Optional.ofNullable(links.get(key.substring(key.indexOf('/') + 1)))
                        .map(link -> Buffer.buffer(Integer.toString(link.port()))));
        EntryDaemon daemon =
                new EntryDaemon(vertx, settings, store, new Decoder(), new TestDialect(), new NoMemoryClient());
        return new Daemon(vertx, daemon, store, settings, links);
    }

    private static SocketAddress local(int port) {
        return SocketAddress.inetSocketAddress(port, "127.0.0.1");
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(LIMIT_SECONDS, TimeUnit.SECONDS);
    }

    /** Cuts a daemon's links to all upstreams. */
    void cut(int daemon, UpstreamLink.Cut cut) throws Exception {
        for (UpstreamLink link : daemons.get(daemon).links().values()) {
            link.cut(cut);
        }
    }

    void restore(int daemon) throws Exception {
        for (UpstreamLink link : daemons.get(daemon).links().values()) {
            link.restore();
        }
    }

    /** Sends a request to a daemon, on a connection that stays open, and returns its answer. */
    Future<Answer> send(int daemon, Kind kind, String attempt) {
        long startNanos = System.nanoTime();
        RequestOptions options = new RequestOptions()
                .setServer(daemons.get(daemon).settings().callers())
                .setHost("h")
                .setMethod(HttpMethod.POST)
                .setURI(kind.path())
                .putHeader(TestDialect.ATTEMPT, attempt)
                .putHeader(TestDialect.REMAINING, Integer.toString(TIMEOUT_MILLIS));
        if (kind == Kind.STREAM) {
            options.putHeader(TestDialect.PROMPT, "100");
        }
        return callers.request(options)
                .compose(request -> request.send("body of " + attempt))
                .compose(response -> {
                    Buffer body = Buffer.buffer();
                    response.handler(body::appendBuffer);
                    return response.end()
                            .transform(end -> Future.succeededFuture(
                                    new Answer(response.statusCode(), body.toString(), end.succeeded(), 0)));
                })
                .otherwise(failure -> new Answer(0, failure.toString(), false, 0))
                .map(answer -> new Answer(
                        answer.status(),
                        answer.body(),
                        answer.complete(),
                        TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos)));
    }

    /** Returns how often a request was run by all upstreams together. */
    int runs(String attempt) {
        return upstreams.values().stream()
                .mapToInt(upstream -> upstream.runs().getOrDefault(attempt, 0))
                .sum();
    }

    /** Returns the text of a daemon's metrics. */
    String metrics(int daemon) throws Exception {
        RequestOptions options = new RequestOptions()
                .setServer(daemons.get(daemon).settings().metrics())
                .setURI("/metrics");
        return await(callers.request(options).compose(request -> request.send()).compose(r -> r.body()))
                .toString();
    }

    Vertx vertx() {
        return outside;
    }

    /** Ends a daemon without a word, as a kill does. */
    void kill(int daemon) throws Exception {
        await(daemons.get(daemon).vertx().close());
    }

    /** Leaves a daemon without an answer when it ends its registration. */
    void leaveLeaseEndsUnanswered(int daemon) {
        daemons.get(daemon).store().leaveLeaseEndsUnanswered();
    }

    /** Stops a daemon gracefully. */
    Future<Void> stop(int daemon) {
        return daemons.get(daemon).daemon().stop();
    }

    @Override
    public void close() throws Exception {
        for (Daemon daemon : daemons) {
            await(daemon.vertx().close());
            for (UpstreamLink link : daemon.links().values()) {
                link.close();
            }
        }
        await(outside.close());
    }

    /** Decodes the values of a test fleet's store. */
    static final class Decoder implements StoreDecoder {
        @Override
        public String operatorPrefix() {
            return "operators/";
        }

        @Override
        public String upstreamPrefix() {
            return "up/";
        }

        @Override
        public String daemonPrefix() {
            return "daemons/";
        }

        @Override
        public String barredTraitPrefix() {
            return "barred/";
        }

        @Override
        public String configurationKey() {
            return "operators/configuration";
        }

        @Override
        public String evacuatedZonePrefix() {
            return "operators/out/";
        }

        @Override
        public RoutingTable configuration(Buffer value) {
            return RoutingTable.builder(Long.parseLong(value.toString()))
                    .route(route(Kind.SAFE, RequestKind.SAFE, "plain"))
                    .route(route(Kind.UNSAFE, RequestKind.UNSAFE, "plain"))
                    .route(route(Kind.STREAM, RequestKind.STREAM, "engines"))
                    .service(new RelayService("plain", "/health", 100, 0, Optional.empty()))
                    .service(new RelayService("engines", "/health", 100, 0, Optional.of(PROFILE)))
                    .build();
        }

        private static RelayRoute route(Kind kind, RequestKind requestKind, String service) {
            String prefix = kind.path().substring(0, kind.path().length() - 1);
            List<ServiceShare> services = List.of(new ServiceShare(service, 1));
            int attempts = requestKind == RequestKind.UNSAFE ? 1 : 3;
            return new RelayRoute(
                    prefix, "h", prefix, requestKind, TIMEOUT_MILLIS, 300, 250, 1, services, attempts, true, true);
        }

        @Override
        public UpstreamEntry upstream(String id, Buffer value) {
            String service = id.substring(0, id.indexOf('-'));
            return new UpstreamEntry(id, service, local(Integer.parseInt(value.toString())), "zone", 8, false, 0, 1);
        }
    }

    /** Sends no orders. */
    static final class NoMemoryClient implements EngineMemoryClient {
        @Override
        public Future<Void> reserve(Upstream engine, String reservation, long tokens, int holdMillis) {
            return Future.succeededFuture();
        }

        @Override
        public Future<Void> release(Upstream engine, String reservation) {
            return Future.succeededFuture();
        }
    }
}
