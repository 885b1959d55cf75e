package org.endivehold.relay.serve;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.net.SocketAddress;
import java.io.IOException;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.endivehold.misc.Ticker;
import org.endivehold.relay.crash.CrashSuspects;
import org.endivehold.relay.limit.ColdLimit;
import org.endivehold.relay.limit.DaemonCount;
import org.endivehold.relay.limit.HeldBytes;
import org.endivehold.relay.limit.KnownDaemons;
import org.endivehold.relay.limit.RetryShare;
import org.endivehold.relay.limit.UpstreamAvailability;
import org.endivehold.relay.limit.UpstreamHealth;
import org.endivehold.relay.limit.UpstreamRateLimits;
import org.endivehold.relay.path.ConnectionProbe;
import org.endivehold.relay.path.Neighbours;
import org.endivehold.relay.path.PathMonitor;
import org.endivehold.relay.path.PathPeers;
import org.endivehold.relay.peer.DaemonEntry;
import org.endivehold.relay.peer.PeerMessage;
import org.endivehold.relay.peer.RateLimitExchange;
import org.endivehold.relay.route.Customer;
import org.endivehold.relay.route.EngineProfile;
import org.endivehold.relay.route.RelayRoute;
import org.endivehold.relay.route.RelayService;
import org.endivehold.relay.route.RequestKind;
import org.endivehold.relay.route.RoutingTable;
import org.endivehold.relay.route.ServiceShare;
import org.endivehold.relay.route.UpstreamEntry;
import org.endivehold.relay.schedule.EngineDivision;
import org.endivehold.relay.schedule.JobReplicator;
import org.endivehold.relay.schedule.LocalScheduler;
import org.endivehold.relay.state.FleetView;
import org.endivehold.relay.state.Upstream;

/** A relay on the loopback interface with scripted upstreams: two or more of a plain service, and as many engines. */
final class RelayFixture implements AutoCloseable, FleetView {
    static final int TIMEOUT_MILLIS = 1_500;
    /** Limit of all bodies in tests that do not concern it, in bytes. */
    private static final long LARGE_LIMIT_BYTES = 64 << 20;

    private static final EngineProfile PROFILE = new EngineProfile(4, 100_000, 10, 0.5, 0, 0, 1_000, 0, 2_048);

    final List<ScriptedUpstream> plainUpstreams = new ArrayList<>();
    final List<ScriptedUpstream> engines = new ArrayList<>();
    final List<String> memoryCommands = new ArrayList<>();
    final List<PeerMessage> peerMessages = new CopyOnWriteArrayList<>();
    /** The other daemons. */
    final List<DaemonEntry> neighbours = new CopyOnWriteArrayList<>();

    private static final int MAX_CONNECTIONS = 1_000;
    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    final SimpleMeterRegistry registry = new SimpleMeterRegistry();
    private final RelayContext context;
    private final CallerServer server;
    private final int port;
    private final RoutingTable table;
    /** Number of calls of {@link #complete} that return false before the fleet counts as known. */
    volatile int incompleteChecks;

    /** Start of all upstreams, as their entries show it. */
    volatile long startedAtMillis = 1;

    /** Whether looking for the route of a request fails, by a fault of the daemon. */
    volatile boolean failingDispatch;

    private final UpstreamAvailability availability;
    private int completenessChecks;

    RelayFixture() throws Exception {
        this(2);
    }

    /** Creates a relay with a number of engines, and as many upstreams of a plain service. */
    RelayFixture(int count) throws Exception {
        this(count, HeldBodies.withLimit(LARGE_LIMIT_BYTES));
    }

    RelayFixture(int count, HeldBodies bodies) throws Exception {
        for (int i = 0; i < count; i++) {
            plainUpstreams.add(new ScriptedUpstream());
            engines.add(new ScriptedUpstream());
        }
        table = RoutingTable.builder(1)
                .route(route("/safe/", RequestKind.SAFE, "plain", 2, false))
                .route(route("/unsafe/", RequestKind.UNSAFE, "plain", 1, false))
                .route(route("/stream/", RequestKind.STREAM, "engines", 2, true))
                .route(route("/once/", RequestKind.STREAM, "engines", 2, false))
                .route(route("/feed/", RequestKind.STREAM, "plain", 2, true))
                .route(route("/feed-once/", RequestKind.STREAM, "plain", 2, false))
                .service(new RelayService("plain", "/health", 100, 0, Optional.empty()))
                .service(new RelayService("engines", "/health", 100, 0, Optional.of(PROFILE)))
                .key("secret", new Customer("customer", OptionalInt.empty()))
                .requireApiKeys()
                .build();
        Ticker ticker = Ticker.system();
        DaemonCount onlyDaemon = KnownDaemons.only("d");
        RelayBounds bounds = new RelayBounds(4_000, 1, 1, 1, 100, 10_000, 3_000);
        UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(1);
        JobReplicator work = new JobReplicator(ticker, "d", message -> {});
        UpstreamHealth health = new UpstreamHealth();
        UpstreamRateLimits rateLimits = new UpstreamRateLimits(onlyDaemon);
        availability = new UpstreamAvailability(health, rateLimits);
        PathMonitor paths = new PathMonitor(vertx, ticker, random, this, new ConnectionProbe(vertx));
        context = new RelayContext(
                vertx,
                ticker,
                random,
                this,
                new TestHeaderCodec(),
                new RecordingMemory(),
                bounds,
                work,
                new LocalScheduler(vertx, ticker, random, this, health, work, new EngineDivision(onlyDaemon)),
                health,
                availability,
                paths,
                new Neighbours(ticker, random, new FixedPeers()),
                new CrashMonitor(
                        ticker,
                        new ReferencedCheck(new ConnectionCheck(vertx), paths),
                        new CrashSuspects((part, turn) -> true, new CrashSuspects.Listener() {}),
                        peerMessages::add),
                new AvailabilityRecorder(
                        availability::markLeaving,
                        availability,
                        new RateLimitExchange(rateLimits, ticker, peerMessages::add),
                        ticker,
                        peerMessages::add),
                new ColdLimit("d"),
                new RetryShare(1, 100, 10_000),
                onlyDaemon,
                bodies,
                new RelayMetrics(meters(registry), bodies));
        server = new CallerServer(context, MAX_CONNECTIONS, new HeldBytes("heads", 10 << 20));
        port = freePort();
        await(server.listen(SocketAddress.inetSocketAddress(port, "127.0.0.1")));
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    private static RelayRoute route(String prefix, RequestKind kind, String service, int attempts, boolean resumable) {
        List<ServiceShare> services = List.of(new ServiceShare(service, 1));
        return new RelayRoute(
                prefix, "h", prefix, kind, TIMEOUT_MILLIS, 300, 250, 1, services, attempts, false, resumable);
    }

    static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    int port() {
        return port;
    }

    RelayContext context() {
        return context;
    }

    CallerServer server() {
        return server;
    }

    Vertx vertx() {
        return vertx;
    }

    /** Adds the same reply to all upstreams, since any of them may get the first request. */
    RelayFixture replyFromAll(String bytes, ScriptedUpstream.End end) {
        plainUpstreams.forEach(upstream -> upstream.reply(bytes, end));
        engines.forEach(upstream -> upstream.reply(bytes, end));
        return this;
    }

    /** Once any engine has received a request, replaces the pending replies of all engines by this one. */
    void replyToSecondRequest(String bytes) {
        Runnable replaceReplies = () -> engines.forEach(upstream -> upstream.replaceReplies(bytes));
        engines.forEach(upstream -> upstream.onRequest(replaceReplies));
    }

    /** Once any upstream has received a request, replaces the pending replies of all upstreams by this one. */
    void replyToLaterRequests(String bytes) {
        Runnable replaceReplies = () -> allUpstreams().forEach(upstream -> upstream.replaceReplies(bytes));
        allUpstreams().forEach(upstream -> upstream.onRequest(replaceReplies));
    }

    List<ScriptedUpstream> allUpstreams() {
        List<ScriptedUpstream> all = new ArrayList<>(plainUpstreams);
        all.addAll(engines);
        return all;
    }

    /** Makes the ports of all upstreams refuse connections, as a path does that is cut in this way. */
    void closeAllUpstreams() {
        for (ScriptedUpstream upstream : allUpstreams()) {
            try {
                upstream.close();
            } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    /** Returns the number of answers that were counted as invalid. */
    int invalidAnswers() {
        return registry.find("endivehold.invalid.answers").counters().stream()
                .mapToInt(counter -> (int) counter.count())
                .sum();
    }

    int arrivals() {
        int sum = 0;
        for (ScriptedUpstream upstream : plainUpstreams) {
            sum += upstream.requests().size();
        }
        for (ScriptedUpstream upstream : engines) {
            sum += upstream.requests().size();
        }
        return sum;
    }

    List<String> requests() {
        List<String> all = new ArrayList<>();
        plainUpstreams.forEach(upstream -> all.addAll(upstream.requests()));
        engines.forEach(upstream -> all.addAll(upstream.requests()));
        return all;
    }

    /** Sends a request over a raw connection, since the JDK's HTTP client does not let callers set the Host header. */
    RawResponse send(String method, String path, String body, String... headers) throws IOException {
        return RawResponse.send(port, method, path, body, headers);
    }

    @Override
    public boolean complete() {
        completenessChecks++;
        return completenessChecks > incompleteChecks;
    }

    @Override
    public Optional<RoutingTable> table() {
        if (failingDispatch && completenessChecks > 0) {
            throw new IllegalStateException("a fault of this daemon");
        }
        return Optional.of(table);
    }

    @Override
    public double sinceTableConfirmedMillis() {
        return 0;
    }

    @Override
    public Collection<Upstream> upstreams(String service) {
        List<ScriptedUpstream> all = service.equals("plain") ? plainUpstreams : engines;
        List<Upstream> upstreams = new ArrayList<>();
        for (int i = 0; i < all.size(); i++) {
            upstreams.add(upstream(service, i, all.get(i)));
        }
        upstreams.removeIf(upstream -> !availability.isInService(upstream.entry()));
        return upstreams;
    }

    private Upstream upstream(String service, int index, ScriptedUpstream upstream) {
        return new Upstream(
                new UpstreamEntry(
                        service + "-" + index, service, upstream.address(), "z", 4, false, 0, startedAtMillis),
                0);
    }

    @Override
    public Collection<Upstream> upstreams() {
        return services().stream()
                .flatMap(service -> upstreams(service).stream())
                .toList();
    }

    @Override
    public Collection<String> services() {
        return List.of("plain", "engines");
    }

    @Override
    public Optional<Upstream> upstream(String id) {
        return upstreams(id.substring(0, id.indexOf('-'))).stream()
                .filter(upstream -> upstream.id().equals(id))
                .findFirst();
    }

    /** Records the commands to engines, which all succeed. */
    private final class RecordingMemory implements EngineMemoryClient {
        @Override
        public Future<Void> reserve(Upstream engine, String id, long tokens, int holdMillis) {
            memoryCommands.add("reserve " + engine.id() + " " + tokens);
            return Future.succeededFuture();
        }

        @Override
        public Future<Void> release(Upstream engine, String id) {
            memoryCommands.add("release " + engine.id());
            return Future.succeededFuture();
        }
    }

    /** Tells the relay of the other daemons; messages to all of them are dropped. */
    private final class FixedPeers implements PathPeers {
        @Override
        public DaemonEntry self() {
            return new DaemonEntry("d", "127.0.0.1", 1, "z", 1);
        }

        @Override
        public Collection<DaemonEntry> others() {
            return neighbours;
        }

        @Override
        public void spread(PeerMessage message) {}

        @Override
        public void passOn(PeerMessage message) {}
    }

    @Override
    public void close() throws Exception {
        await(vertx.close());
        for (ScriptedUpstream upstream : plainUpstreams) {
            upstream.close();
        }
        for (ScriptedUpstream upstream : engines) {
            upstream.close();
        }
    }

    /** Returns meters that record in the registry at once, so that a test can read them there. */
    private static DeferredMeters<SimpleMeterRegistry> meters(SimpleMeterRegistry registry) {
        DeferredMeters<SimpleMeterRegistry> meters = new DeferredMeters<>(() -> registry);
        meters.registry();
        return meters;
    }
}
