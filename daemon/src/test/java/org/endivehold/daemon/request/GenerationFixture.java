package org.endivehold.daemon.request;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.simple.RandomSource;
import org.endivehold.capacity.Capacity;
import org.endivehold.capacity.Permit;
import org.endivehold.capacity.ReservationRequest;
import org.endivehold.capacity.Share;
import org.endivehold.config.AvailabilityZone;
import org.endivehold.config.Configuration;
import org.endivehold.config.ConfigurationListener;
import org.endivehold.config.ConfigurationSnapshot;
import org.endivehold.config.Customer;
import org.endivehold.config.RequestClass;
import org.endivehold.config.Route;
import org.endivehold.config.Upstream;
import org.endivehold.daemon.DaemonContext;
import org.endivehold.daemon.config.ActiveConfiguration;
import org.endivehold.daemon.kernel.Kernel;
import org.endivehold.daemon.kernel.Service;
import org.endivehold.daemon.settings.Settings;
import org.endivehold.daemon.upstream.UpstreamDirectory;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorManager;
import org.endivehold.error.ErrorType;
import org.endivehold.misc.CustomerName;
import org.endivehold.misc.HostId;
import org.endivehold.misc.Incarnation;
import org.endivehold.misc.RegionName;
import org.endivehold.misc.RequestId;
import org.endivehold.misc.Revision;
import org.endivehold.misc.RouteName;
import org.endivehold.misc.Ticker;
import org.endivehold.misc.UpstreamName;
import org.endivehold.misc.VersionName;
import org.endivehold.misc.ZoneName;
import org.endivehold.upstream.Engine;
import org.endivehold.upstream.PlainService;

/** A generation service with fake engines, capacity and configuration, on its own event loop. */
final class GenerationFixture implements AutoCloseable {
    static final VersionName VERSION = new VersionName("v1");
    static final ZoneName ZONE = new ZoneName("a");
    static final int MAX_QUEUED = 4;
    private static final long WAIT_SECONDS = 20;

    final Vertx vertx = Vertx.vertx();
    final FakeCapacity capacity = new FakeCapacity();
    final Map<UpstreamName, FakeEngine> engines = new TreeMap<>();
    final GenerationService service;
    AvailabilityZone.State zoneState = AvailabilityZone.State.IN;
    private final DaemonContext context;
    private int calls;

    GenerationFixture(String... engineNames) throws Exception {
        this(null, engineNames);
    }

    private GenerationFixture(String secretFile, String[] engineNames) throws Exception {
        for (String name : engineNames) {
            FakeEngine engine = new FakeEngine(name);
            engines.put(engine.name, engine);
            capacity.slots.put(engine.name, 2);
        }
        context = context(vertx, secretFile);
        service = new GenerationService(context);
        Kernel kernel = new Kernel()
                .add(new ConfigurationService())
                .add(new CapacityService())
                .add(new FakeUpstreamDirectory())
                .add(service);
        onLoop(() -> kernel.start());
    }

    static DaemonContext context(Vertx vertx, String secretFile) {
        Settings settings = settings(secretFile);
        Ticker ticker = Ticker.system();
        return new DaemonContext(
                vertx,
                settings,
                ticker,
                new ErrorManager(),
                RandomSource.XO_RO_SHI_RO_128_PP.create(1L),
                new SimpleMeterRegistry(),
                new TraceLog(ticker),
                new Incarnation(7));
    }

    private static Settings settings(String secretFile) {
        return new Settings(
                new HostId("h1"),
                ZONE,
                1,
                new Settings.Callers("127.0.0.1", 0, Optional.ofNullable(secretFile)),
                null,
                null,
                null,
                new Settings.Limits(0, 0, 0, 0, 0, MAX_QUEUED),
                null,
                null,
                new Settings.Placement("least-predicted-time"),
                new Settings.Retry(4, 0.2),
                null,
                null);
    }

    static GenerationFixture withSecret(String secretFile, String... engineNames) throws Exception {
        return new GenerationFixture(secretFile, engineNames);
    }

    FakeEngine engine(String name) {
        return engines.get(new UpstreamName(name));
    }

    static Route route(RequestClass requestClass, long longPromptTokens) {
        return new Route(
                new RouteName("r"),
                Route.Kind.GENERATION,
                Optional.of(VERSION),
                Optional.empty(),
                Optional.empty(),
                List.of(),
                true,
                requestClass,
                10_000,
                60_000,
                longPromptTokens);
    }

    GenerationCall call(String prompt, int maxTokens, long deadlineMillis) {
        return call(route(RequestClass.INTERACTIVE, 20_000), prompt, maxTokens, deadlineMillis);
    }

    GenerationCall call(Route route, String prompt, int maxTokens, long deadlineMillis) {
        long now = context.ticker().millis();
        return new GenerationCall(
                new RequestId("q" + ++calls),
                new CustomerName("quito"),
                route,
                prompt,
                (prompt.length() + 3) / 4,
                maxTokens,
                now,
                now + deadlineMillis);
    }

    RecordingSink submit(GenerationCall call) throws Exception {
        RecordingSink sink = new RecordingSink();
        onLoop(() -> {
            service.submit(call, sink);
            return Future.succeededFuture();
        });
        return sink;
    }

    /** Runs a task on the event loop and waits for its future. */
    <T> T onLoop(Callable<Future<T>> task) throws Exception {
        Promise<T> promise = Promise.promise();
        vertx.runOnContext(ignored -> {
            try {
                task.call().onComplete(promise);
            } catch (Exception e) {
                promise.fail(e);
            }
        });
        return promise.future().toCompletionStage().toCompletableFuture().get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    @Override
    public void close() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    private ConfigurationSnapshot snapshot() {
        TreeMap<UpstreamName, Upstream> upstreams = new TreeMap<>();
        for (UpstreamName name : engines.keySet()) {
            upstreams.put(
                    name,
                    new Upstream(
                            name,
                            Upstream.Kind.ENGINE,
                            ZONE,
                            "127.0.0.1",
                            1,
                            Upstream.State.SERVING,
                            Set.of(VERSION),
                            2,
                            1,
                            capacity.memoryTokens,
                            20_000,
                            true));
        }
        TreeMap<ZoneName, AvailabilityZone> zones = new TreeMap<>();
        zones.put(ZONE, new AvailabilityZone(ZONE, new RegionName("r"), zoneState));
        TreeMap<CustomerName, Customer> customers = new TreeMap<>();
        customers.put(new CustomerName("quito"), new Customer(new CustomerName("quito"), List.of(), 1, 100, 3));
        Configuration configuration = new Configuration(
                new TreeMap<>(), new TreeMap<>(), new TreeMap<>(), new TreeMap<>(), customers, zones, upstreams);
        return new ConfigurationSnapshot(new Revision(1), "d", configuration);
    }

    private abstract static class FakeService implements Service {
        private final String name;

        FakeService(String name) {
            this.name = name;
        }

        @Override
        public String name() {
            return name;
        }

        @Override
        public Future<Void> start(Kernel kernel) {
            return Future.succeededFuture();
        }

        @Override
        public Future<Void> stop() {
            return Future.succeededFuture();
        }
    }

    private final class ConfigurationService extends FakeService implements ActiveConfiguration {
        ConfigurationService() {
            super(ActiveConfiguration.NAME);
        }

        @Override
        public Optional<ConfigurationSnapshot> current() {
            return Optional.of(snapshot());
        }

        @Override
        public void listen(ConfigurationListener listener) {
            listener.activated(snapshot());
        }
    }

    private final class FakeUpstreamDirectory extends FakeService implements UpstreamDirectory {
        FakeUpstreamDirectory() {
            super(UpstreamDirectory.NAME);
        }

        @Override
        public Engine engine(UpstreamName name) throws EndiveholdException {
            return engines.get(name);
        }

        @Override
        public PlainService plainService(UpstreamName name) throws EndiveholdException {
            throw new EndiveholdException(ErrorType.NO_UPSTREAM, name);
        }
    }

    /** Provides the fake capacity as a service of the kernel. */
    private final class CapacityService extends FakeService implements Capacity {
        CapacityService() {
            super("capacity");
        }

        @Override
        public List<Share> shares(long now) {
            return capacity.shares(now);
        }

        @Override
        public Optional<Permit> acquire(UpstreamName upstream, long memoryTokens, long now) {
            return capacity.acquire(upstream, memoryTokens, now);
        }

        @Override
        public CompletionStage<List<Permit>> reserve(ReservationRequest request, long now) {
            return capacity.reserve(request, now);
        }

        @Override
        public void release(Permit permit, long now) {
            capacity.release(permit, now);
        }

        @Override
        public void suspect(UpstreamName upstream, long now) {
            capacity.suspect(upstream, now);
        }
    }
}
