package org.endivehold.daemon.entry;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import java.util.List;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.endivehold.misc.LogEvent;
import org.endivehold.misc.RendezvousHash;
import org.endivehold.misc.Ticker;
import org.endivehold.relay.RelaySettings;
import org.endivehold.relay.crash.CrashSuspects;
import org.endivehold.relay.limit.ColdLimit;
import org.endivehold.relay.limit.DaemonCount;
import org.endivehold.relay.limit.HeldBytes;
import org.endivehold.relay.limit.RetryShare;
import org.endivehold.relay.limit.UpstreamAvailability;
import org.endivehold.relay.limit.UpstreamHealth;
import org.endivehold.relay.limit.UpstreamRateLimits;
import org.endivehold.relay.path.ConnectionProbe;
import org.endivehold.relay.path.Neighbours;
import org.endivehold.relay.path.PathMonitor;
import org.endivehold.relay.peer.ConfigurationExchange;
import org.endivehold.relay.peer.CopyExchange;
import org.endivehold.relay.peer.DaemonDirectory;
import org.endivehold.relay.peer.DaemonEntry;
import org.endivehold.relay.peer.PeerMesh;
import org.endivehold.relay.peer.PeerMessage;
import org.endivehold.relay.peer.RateLimitExchange;
import org.endivehold.relay.peer.SuspectExchange;
import org.endivehold.relay.schedule.EngineDivision;
import org.endivehold.relay.schedule.JobReplicator;
import org.endivehold.relay.schedule.LocalScheduler;
import org.endivehold.relay.schedule.SharedScheduler;
import org.endivehold.relay.serve.AvailabilityRecorder;
import org.endivehold.relay.serve.CallerServer;
import org.endivehold.relay.serve.ConnectionCheck;
import org.endivehold.relay.serve.CrashMonitor;
import org.endivehold.relay.serve.DeferredMeters;
import org.endivehold.relay.serve.Dialect;
import org.endivehold.relay.serve.EngineMemoryClient;
import org.endivehold.relay.serve.HeldBodies;
import org.endivehold.relay.serve.ReferencedCheck;
import org.endivehold.relay.serve.RelayBounds;
import org.endivehold.relay.serve.RelayContext;
import org.endivehold.relay.serve.RelayMetrics;
import org.endivehold.relay.state.CopyAges;
import org.endivehold.relay.state.FleetState;
import org.endivehold.relay.state.SharedStore;
import org.endivehold.relay.state.StoreDecoder;
import org.endivehold.relay.state.StoreHeartbeat;
import org.endivehold.relay.state.WatchedPrefix;
import org.jboss.logging.Logger;

/** The daemon of an entry host: assembles its components, starts them, and stops them gracefully. */
public final class EntryDaemon {
    /** Interval of housekeeping: removal of outdated engine and upstream state, and requests for newer store copies. */
    private static final long MAINTENANCE_INTERVAL_MILLIS = 500;

    /** Daemons that write what is barred to the store; one of them may be down. */
    private static final int BARRED_TRAIT_WRITERS = 2;

    private static final Logger log = Logger.getLogger(EntryDaemon.class);

    private final Vertx vertx;
    private final RelaySettings settings;
    private final HeldBytes heads;
    private final String self;
    private final PeerMesh mesh;
    private final WatchedPrefix operatorEntries;
    private final WatchedPrefix upstreamEntries;
    private final StoreHeartbeat heartbeat;
    private final CopyExchange copyExchange;
    private final FleetState fleet;
    private final JobReplicator jobReplicator;
    private final UpstreamHealth health = new UpstreamHealth();
    private final UpstreamAvailability availability;
    private final PathMonitor paths;
    private final Neighbours neighbours;
    private final CrashSuspects suspects;
    private final BarredTraitStore barredTraits;
    private final Registration registration;
    private final CallerServer callers;
    private final StatusServer status;
    private final Ticker ticker = Ticker.system();

    /**
     * Assembles a daemon.
     *
     * @param vertx a Vert.x instance with a single event loop, see {@link #createVertx()}
     * @param settings the settings of the daemon
     * @param store the platform's key-value store
     * @param decoder decodes the values in the store
     * @param headerCodec reads and writes the platform's headers
     * @param orders sends orders to engines
     */
    public EntryDaemon(
            Vertx vertx,
            RelaySettings settings,
            SharedStore store,
            StoreDecoder decoder,
            Dialect headerCodec,
            EngineMemoryClient orders) {
        this.vertx = vertx;
        this.settings = settings;
        heads = new HeldBytes("heads", settings.connections().headBytes());
        long startedAtMillis = System.currentTimeMillis();
        self = settings.name() + "#" + startedAtMillis;
        UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(startedAtMillis ^ self.hashCode());
        DaemonEntry entry = entry(self, settings);
        DaemonDirectory directory = new DaemonDirectory(entry);
        jobReplicator = new JobReplicator(ticker, self, this::sendToPeers);
        PeerMessageDispatcher dispatcher = new PeerMessageDispatcher(jobReplicator, health, ticker);
        mesh = new PeerMesh(vertx, ticker, directory, dispatcher);
        DaemonCount daemons = new MeshDaemonCount(mesh);
        UpstreamRateLimits rateLimits = new UpstreamRateLimits(daemons);
        availability = new UpstreamAvailability(health, rateLimits);
        fleet = new FleetState(decoder, ticker, availability, copyAges());
        operatorEntries = copy(store, decoder.operatorPrefix(), random);
        upstreamEntries = copy(store, decoder.upstreamPrefix(), random);
        List<WatchedPrefix> copies = List.of(operatorEntries, upstreamEntries);
        heartbeat = new StoreHeartbeat(vertx, ticker, store, copies);
        copyExchange = new CopyExchange(vertx, directory, copies, heartbeat, mesh);
        LocalScheduler local =
                new LocalScheduler(vertx, ticker, random, fleet, health, jobReplicator, new EngineDivision(daemons));
        SharedScheduler scheduler = new SharedScheduler(vertx, ticker, self, local, jobReplicator, mesh);
        ConfigurationExchange configurations = new ConfigurationExchange(vertx, fleet.configuration(), mesh);
        barredTraits = barredTraits(store, decoder, directory);
        paths = new PathMonitor(vertx, ticker, random, fleet, new ConnectionProbe(vertx));
        neighbours = new Neighbours(ticker, random, new MeshPathPeers(mesh));
        suspects = new CrashSuspects(
                (trait, turn) -> RendezvousHash.chosen(self, directory.names(), trait + "#" + turn, 1), barredTraits);
        SuspectExchange suspectExchange = new SuspectExchange(suspects, ticker, mesh);
        CrashMonitor crashes = new CrashMonitor(
                ticker, new ReferencedCheck(new ConnectionCheck(vertx), paths), suspects, suspectExchange::spread);
        RateLimitExchange rateLimitExchange = new RateLimitExchange(rateLimits, ticker, mesh::spread);
        dispatcher.setReceivers(
                fleet, scheduler, copyExchange, configurations, suspectExchange, rateLimitExchange, neighbours, mesh);
        AvailabilityRecorder recorder =
                new AvailabilityRecorder(fleet::markLeaving, availability, rateLimitExchange, ticker, mesh::spread);
        orders.onAnswer(recorder);
        registration = new Registration(vertx, store, decoder.daemonPrefix(), entry, settings, mesh);
        DeferredMeters<PrometheusMeterRegistry> meters = new DeferredMeters<>(EntryDaemon::createRegistry);
        store.onCallEnded(new StoreCallMetrics(meters));
        HeldBodies bodies = HeldBodies.inHeap(Runtime.getRuntime().maxMemory());
        RelayMetrics metrics = new RelayMetrics(meters, bodies);
        orders.onInvalidAnswer(metrics::invalidAnswer);
        callers = callers(new RelayContext(
                vertx,
                ticker,
                random,
                fleet,
                headerCodec,
                orders,
                settings.bounds(),
                jobReplicator,
                scheduler,
                health,
                availability,
                paths,
                neighbours,
                crashes,
                recorder,
                new ColdLimit(self),
                retries(settings.bounds()),
                daemons,
                bodies,
                metrics));
        dispatcher.onForwardOffer(callers::offered);
        status = new StatusServer(vertx, settings, headerCodec.readinessPath(), meters, fleet::complete, heads);
    }

    private static DaemonEntry entry(String name, RelaySettings settings) {
        return new DaemonEntry(
                name, settings.peers().host(), settings.peers().port(), settings.zone(), settings.capacity());
    }

    private WatchedPrefix copy(SharedStore store, String prefix, UniformRandomProvider random) {
        int windowMillis = settings.bounds().stableWindowMillis();
        return new WatchedPrefix(vertx, store, prefix, ticker, random, fleet, windowMillis);
    }

    private BarredTraitStore barredTraits(SharedStore store, StoreDecoder decoder, DaemonDirectory directory) {
        return new BarredTraitStore(
                vertx,
                store,
                decoder.barredTraitPrefix(),
                ticker,
                trait -> RendezvousHash.chosen(self, directory.names(), trait.toString(), BARRED_TRAIT_WRITERS));
    }

    private static RetryShare retries(RelayBounds bounds) {
        return new RetryShare(bounds.retryRatio(), bounds.retrySlack(), bounds.retryWindowMillis());
    }

    private CallerServer callers(RelayContext context) {
        return new CallerServer(context, settings.connections().callers(), heads);
    }

    /** Creates a Vert.x instance with the single event loop that a daemon runs on. */
    public static Vertx createVertx() {
        return Vertx.vertx(new VertxOptions()
                .setEventLoopPoolSize(1)
                .setWorkerPoolSize(1)
                .setInternalBlockingPoolSize(1)
                .setFileSystemOptions(new FileSystemOptions()
                        .setClassPathResolvingEnabled(false)
                        .setFileCachingEnabled(false))
                .setDisableTCCL(true));
    }

    private static PrometheusMeterRegistry createRegistry() {
        return new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    }

    private void sendToPeers(PeerMessage message) {
        mesh.broadcast(message);
    }

    /** Starts the daemon. The result completes when its ports are open. */
    public Future<Void> start() {
        return runOnEventLoop(this::openPorts);
    }

    /**
     * Opens the ports before the background work starts, so that hardly anything else is read while threads are
     * starting: in rare cases, a daemon died of SIGILL in read() at its start, while two threads were reading.
     */
    private Future<Void> openPorts() {
        mesh.limitInbound(settings.connections());
        return status.listen()
                .compose(done -> mesh.start())
                .compose(done -> callers.listen(settings.callers()))
                .onSuccess(done -> startBackgroundWork())
                .onSuccess(done -> LogEvent.of("daemon-started")
                        .with("daemon", self)
                        .with("zone", settings.zone())
                        .with("callers", settings.callers())
                        .info(log));
    }

    private void startBackgroundWork() {
        operatorEntries.start();
        upstreamEntries.start();
        heartbeat.start();
        settings.seeds().forEach(mesh::addSeed);
        registration.start();
        barredTraits.start(suspects);
        paths.start(neighbours::report);
        vertx.setPeriodic(MAINTENANCE_INTERVAL_MILLIS, timer -> runMaintenance());
    }

    /** Applies reloaded settings. Only new seeds take effect: the daemon connects to them. */
    public void reload(RelaySettings changed) {
        vertx.runOnContext(ignored -> {
            LogEvent.of("settings-reloaded").with("seeds", changed.seeds()).info(log);
            changed.seeds().forEach(mesh::addSeed);
        });
    }

    /**
     * Stops gracefully: serves for a while, then refuses new requests and ends the registration, and completes when all
     * requests have been answered and the port is closed. The registration ends beside the last requests, so that a
     * slow store does not delay the stop.
     */
    public Future<Void> stop() {
        return runOnEventLoop(() -> {
                    LogEvent.of("daemon-stopping").with("daemon", self).info(log);
                    status.stopping();
                    CallerServer.Drain drain = callers.drain();
                    Future<Void> left = drain.refusing().compose(refusing -> registration.end());
                    return drain.drained()
                            .onComplete(drained -> closeBackgroundWork())
                            .eventually(() -> left);
                })
                .onComplete(done ->
                        LogEvent.of("daemon-stopped").with("daemon", self).info(log));
    }

    private void closeBackgroundWork() {
        mesh.close();
        operatorEntries.close();
        upstreamEntries.close();
    }

    private void runMaintenance() {
        jobReplicator.tracker().expire((double) ticker.millis(), self);
        jobReplicator.tracker().retain(fleet.upstreamIds());
        health.retain(fleet.upstreamIds());
        availability.retain(fleet.upstreamIds());
        suspects.expire((double) ticker.millis());
        neighbours.runMaintenance();
        copyExchange.requestNewerCopies();
    }

    private CopyAges copyAges() {
        return new CopyAges() {
            @Override
            public double sinceOutageMillis() {
                return upstreamEntries.outageMillis() > 0 ? 0 : upstreamEntries.sinceOutageMillis();
            }

            @Override
            public double sinceRestoreMillis() {
                return operatorEntries.sinceRestoreMillis();
            }

            @Override
            public double sinceOperatorEntriesHeardMillis() {
                return operatorEntries.sinceHeardMillis();
            }
        };
    }

    private Future<Void> runOnEventLoop(Supplier<Future<Void>> step) {
        Promise<Void> promise = Promise.promise();
        vertx.runOnContext(ignored -> step.get().onComplete(promise));
        return promise.future();
    }
}
