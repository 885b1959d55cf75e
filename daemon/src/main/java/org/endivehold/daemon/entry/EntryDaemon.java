package org.endivehold.daemon.entry;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.util.List;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.endivehold.misc.LogEvent;
import org.endivehold.misc.Ticker;
import org.endivehold.relay.RelaySettings;
import org.endivehold.relay.limit.ColdLimit;
import org.endivehold.relay.limit.RetryShare;
import org.endivehold.relay.limit.UpstreamHealth;
import org.endivehold.relay.peer.CopyExchange;
import org.endivehold.relay.peer.DaemonDirectory;
import org.endivehold.relay.peer.DaemonEntry;
import org.endivehold.relay.peer.PeerMesh;
import org.endivehold.relay.peer.PeerMessage;
import org.endivehold.relay.schedule.JobReplicator;
import org.endivehold.relay.schedule.LocalScheduler;
import org.endivehold.relay.schedule.SharedScheduler;
import org.endivehold.relay.serve.CallerServer;
import org.endivehold.relay.serve.Dialect;
import org.endivehold.relay.serve.EngineMemoryClient;
import org.endivehold.relay.serve.RelayBounds;
import org.endivehold.relay.serve.RelayContext;
import org.endivehold.relay.serve.RelayMetrics;
import org.endivehold.relay.state.FleetState;
import org.endivehold.relay.state.SharedStore;
import org.endivehold.relay.state.StoreDecoder;
import org.endivehold.relay.state.WatchedPrefix;
import org.jboss.logging.Logger;

/** One daemon on an entry host, from its start to its graceful end. */
public final class EntryDaemon {
    /** Pause between looks at the account of engines and at copies of the store, in milliseconds. */
    private static final long TICK_MILLIS = 500;

    private static final Logger log = Logger.getLogger(EntryDaemon.class);

    private final Vertx vertx;
    private final RelaySettings settings;
    private final String self;
    private final PeerMesh mesh;
    private final WatchedPrefix operators;
    private final WatchedPrefix upstreams;
    private final CopyExchange copies;
    private final FleetState fleet;
    private final JobReplicator engines;
    private final UpstreamHealth health = new UpstreamHealth();
    private final Registration registration;
    private final CallerServer callers;
    private final StatusServer status;
    private final Ticker ticker = Ticker.system();

    /**
     * Assembles a daemon.
     *
     * @param vertx the event loop
     * @param settings its settings
     * @param store the platform's store
     * @param decoder how the store's values are read
     * @param dialect how headers are named
     * @param orders orders to engines
     */
    public EntryDaemon(
            Vertx vertx,
            RelaySettings settings,
            SharedStore store,
            StoreDecoder decoder,
            Dialect dialect,
            EngineMemoryClient orders) {
        this.vertx = vertx;
        this.settings = settings;
        long start = System.currentTimeMillis();
        self = settings.name() + "#" + start;
        UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(start ^ self.hashCode());
        fleet = new FleetState(decoder, ticker, this::sinceOutageMillis);
        operators = new WatchedPrefix(vertx, store, decoder.operatorPrefix(), ticker, random, fleet);
        upstreams = new WatchedPrefix(vertx, store, decoder.upstreamPrefix(), ticker, random, fleet);
        DaemonEntry entry = new DaemonEntry(
                self, settings.peers().host(), settings.peers().port(), settings.zone(), settings.capacity());
        engines = new JobReplicator(ticker, self, this::tell);
        PeerExchange exchange = new PeerExchange(engines, health, ticker);
        DaemonDirectory directory = new DaemonDirectory(entry);
        mesh = new PeerMesh(vertx, ticker, directory, exchange);
        copies = new CopyExchange(directory, List.of(operators, upstreams), mesh);
        LocalScheduler local = new LocalScheduler(vertx, ticker, random, fleet, health, engines);
        SharedScheduler scheduler = new SharedScheduler(vertx, ticker, self, local, engines, mesh);
        exchange.connect(scheduler, copies);
        registration = new Registration(vertx, store, decoder.daemonPrefix(), entry, settings, mesh);
        PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
        RelayBounds bounds = settings.bounds();
        callers = new CallerServer(new RelayContext(
                vertx,
                ticker,
                random,
                fleet,
                dialect,
                orders,
                bounds,
                engines,
                scheduler,
                health,
                new ColdLimit(self),
                new RetryShare(bounds.retryRatio(), bounds.retrySlack(), bounds.retryWindowMillis()),
                new MeshCount(directory),
                new RelayMetrics(registry)));
        status = new StatusServer(vertx, settings, dialect.readinessPath(), registry, fleet::complete);
    }

    /** Creates the event loop that a daemon runs on. */
    public static Vertx loop() {
        return Vertx.vertx(new VertxOptions()
                .setEventLoopPoolSize(1)
                .setWorkerPoolSize(1)
                .setInternalBlockingPoolSize(1)
                .setDisableTCCL(true));
    }

    private void tell(PeerMessage message) {
        mesh.broadcast(message);
    }

    /** Starts all parts. */
    public Future<Void> start() {
        return onLoop(this::begin);
    }

    /** Opens the ports first: while threads start, little else is read. */
    private Future<Void> begin() {
        return status.listen()
                .compose(done -> mesh.start())
                .compose(done -> callers.listen(settings.callers()))
                .onSuccess(done -> watch())
                .onSuccess(done -> LogEvent.of("daemon-started")
                        .with("daemon", self)
                        .with("zone", settings.zone())
                        .with("callers", settings.callers())
                        .info(log));
    }

    private void watch() {
        operators.start();
        upstreams.start();
        copies.start(vertx);
        settings.seeds().forEach(mesh::addSeed);
        registration.start();
        vertx.setPeriodic(TICK_MILLIS, timer -> tick());
    }

    /** Takes settings that were read anew: seeds that were not known are connected. */
    public void reload(RelaySettings changed) {
        vertx.runOnContext(ignored -> {
            LogEvent.of("settings-reloaded").with("seeds", changed.seeds()).info(log);
            changed.seeds().forEach(mesh::addSeed);
        });
    }

    /** Stops gracefully: serves what is under way, then closes. */
    public Future<Void> stop() {
        return onLoop(() -> {
                    LogEvent.of("daemon-stopping").with("daemon", self).info(log);
                    status.stopping();
                    return callers.drain();
                })
                .compose(drained -> onLoop(() -> {
                    mesh.close();
                    operators.close();
                    upstreams.close();
                    return registration.end();
                }))
                .onComplete(done ->
                        LogEvent.of("daemon-stopped").with("daemon", self).info(log));
    }

    private void tick() {
        engines.tracker().expire((double) ticker.millis(), self);
        engines.tracker().retain(fleet.upstreamIds());
        health.retain(fleet.upstreamIds());
        copies.requestNewerCopies();
    }

    private double sinceOutageMillis() {
        return upstreams.outageMillis() > 0 ? 0 : upstreams.sinceOutageMillis();
    }

    private Future<Void> onLoop(Supplier<Future<Void>> step) {
        Promise<Void> promise = Promise.promise();
        vertx.runOnContext(ignored -> step.get().onComplete(promise));
        return promise.future();
    }
}
