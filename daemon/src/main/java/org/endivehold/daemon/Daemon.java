package org.endivehold.daemon;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.util.function.Supplier;
import org.apache.commons.rng.simple.RandomSource;
import org.endivehold.daemon.capacity.CapacityService;
import org.endivehold.daemon.config.ConfigurationGossip;
import org.endivehold.daemon.config.ConfigurationService;
import org.endivehold.daemon.http.CallerHttpServer;
import org.endivehold.daemon.kernel.Kernel;
import org.endivehold.daemon.ledger.LedgerService;
import org.endivehold.daemon.membership.HostRegistry;
import org.endivehold.daemon.operator.OperatorServer;
import org.endivehold.daemon.peer.TcpPeerTransport;
import org.endivehold.daemon.platform.EtcdStore;
import org.endivehold.daemon.request.GenerationService;
import org.endivehold.daemon.request.PlainCallService;
import org.endivehold.daemon.request.TraceLog;
import org.endivehold.daemon.settings.Settings;
import org.endivehold.daemon.upstream.OrphanSweep;
import org.endivehold.daemon.upstream.UpstreamService;
import org.endivehold.error.ErrorManager;
import org.endivehold.misc.Incarnation;
import org.endivehold.misc.LogEvent;
import org.endivehold.misc.Ticker;
import org.jboss.logging.Logger;

/** A daemon with its own Vert.x instance, context and services. Several daemons may run in one JVM. */
public final class Daemon {
    private static final Logger log = Logger.getLogger(Daemon.class);

    private final DaemonContext context;
    private final Kernel kernel = new Kernel();

    /**
     * Assembles a daemon.
     *
     * @param settings the settings of the daemon
     */
    public Daemon(Settings settings) {
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(2));
        Ticker ticker = Ticker.system();
        long seed = settings.seed() == 0 ? System.nanoTime() : settings.seed();
        context = new DaemonContext(
                vertx,
                settings,
                ticker,
                new ErrorManager(),
                RandomSource.XO_RO_SHI_RO_128_PP.create(seed),
                new PrometheusMeterRegistry(PrometheusConfig.DEFAULT),
                new TraceLog(ticker),
                new Incarnation(System.currentTimeMillis()));
        assemble();
    }

    private void assemble() {
        // All services are added here; the kernel determines the start order from their dependencies.
        kernel.add(new EtcdStore(context));
        kernel.add(new ConfigurationService(context));
        kernel.add(new TcpPeerTransport(context));
        kernel.add(new HostRegistry(context));
        kernel.add(new ConfigurationGossip(context));
        kernel.add(new OperatorServer(context));
        kernel.add(new CapacityService(context));
        kernel.add(new UpstreamService(context));
        kernel.add(new OrphanSweep(context));
        kernel.add(new LedgerService(context));
        kernel.add(new PlainCallService(context));
        kernel.add(new GenerationService(context));
        kernel.add(new CallerHttpServer(context));
    }

    /**
     * Returns the objects shared by all services.
     *
     * @return the context
     */
    public DaemonContext context() {
        return context;
    }

    /**
     * Returns the registry of the services.
     *
     * @return the kernel
     */
    public Kernel kernel() {
        return kernel;
    }

    /**
     * Starts all services.
     *
     * @return completes when all services run
     */
    public Future<Void> start() {
        return runOnEventLoop(kernel::start).onSuccess(done -> LogEvent.of("daemon-started")
                .with("host", context.settings().host())
                .with("zone", context.settings().zone())
                .with("incarnation", context.incarnation())
                .info(log));
    }

    /**
     * Shuts down gracefully: drains all services, then stops them.
     *
     * @return completes when the daemon has stopped
     */
    public Future<Void> shutdown() {
        return runOnEventLoop(kernel::shutdown)
                .onSuccess(done -> LogEvent.of("daemon-stopped")
                        .with("host", context.settings().host())
                        .info(log))
                .eventually(context.vertx()::close);
    }

    /**
     * Stops immediately, as a crash would: connections are broken off and leases and claims are not released.
     *
     * @return completes when all threads have ended
     */
    public Future<Void> kill() {
        return context.vertx().close();
    }

    private Future<Void> runOnEventLoop(Supplier<Future<Void>> step) {
        Promise<Void> promise = Promise.promise();
        context.vertx().runOnContext(ignored -> step.get().onComplete(promise));
        return promise.future();
    }
}
