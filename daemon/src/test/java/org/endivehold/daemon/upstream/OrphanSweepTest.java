package org.endivehold.daemon.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.endivehold.config.Configuration;
import org.endivehold.config.ConfigurationListener;
import org.endivehold.config.ConfigurationSnapshot;
import org.endivehold.config.Upstream;
import org.endivehold.daemon.DaemonContext;
import org.endivehold.daemon.TestContexts;
import org.endivehold.daemon.config.ActiveConfiguration;
import org.endivehold.daemon.kernel.Kernel;
import org.endivehold.daemon.kernel.Service;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.membership.Member;
import org.endivehold.membership.MemberDirectory;
import org.endivehold.membership.MemberListener;
import org.endivehold.misc.BootNumber;
import org.endivehold.misc.HostId;
import org.endivehold.misc.Incarnation;
import org.endivehold.misc.Revision;
import org.endivehold.misc.StreamId;
import org.endivehold.misc.UpstreamName;
import org.endivehold.misc.ZoneName;
import org.endivehold.upstream.CacheEvent;
import org.endivehold.upstream.CacheHandle;
import org.endivehold.upstream.Engine;
import org.endivehold.upstream.EngineLoad;
import org.endivehold.upstream.EngineOrder;
import org.endivehold.upstream.GenerateRequest;
import org.endivehold.upstream.PlainService;
import org.endivehold.upstream.ResourceOwner;
import org.endivehold.upstream.StreamListener;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class OrphanSweepTest {
    private static final UpstreamName ENGINE = new UpstreamName("e1");
    private static final Member SELF = member("self", 1);
    private static final int WAIT_SECONDS = 10;

    private final Vertx vertx = Vertx.vertx();
    private final List<String> released = new ArrayList<>();
    private final List<EngineLoad.HeldCache> caches = new ArrayList<>();
    private final List<Member> members = new ArrayList<>(List.of(SELF));
    private boolean registered = true;
    private long now;
    private OrphanSweep sweep;

    private static Member member(String host, long incarnation) {
        return new Member(new HostId(host), new Incarnation(incarnation), new ZoneName("z"), "127.0.0.1", 1, false);
    }

    private void addCache(String cache, String host, long incarnation) {
        ResourceOwner owner = new ResourceOwner(new HostId(host), new Incarnation(incarnation));
        caches.add(new EngineLoad.HeldCache(cache, owner, 100));
    }

    @BeforeEach
    void start() throws Exception {
        DaemonContext c = TestContexts.create(vertx, "self");
        sweep = new OrphanSweep(new DaemonContext(
                vertx, c.settings(), () -> now, c.errors(), c.random(), c.meters(), c.trace(), c.incarnation()));
        new Kernel()
                .add(new FakeMembers())
                .add(new FakeUpstreams())
                .add(new OneEngineConfiguration())
                .add(sweep)
                .start()
                .toCompletionStage()
                .toCompletableFuture()
                .get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    @AfterEach
    void close() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    private void sweepTwice() {
        sweep.sweep();
        now += 20_000;
        sweep.sweep();
    }

    /** One daemon has ended and another has restarted while engines hold cached parts of long prompts for them. */
    @Test
    void releasesOnlyCachesOfEndedProcesses() {
        members.set(0, member("self", 1));
        addCache("mine", "self", 1);
        addCache("dead", "gone", 1);
        addCache("before", "self", 0);
        sweepTwice();
        assertEquals(List.of("before", "dead"), released.stream().sorted().toList());
    }

    /**
     * A daemon that starts during an outage of the key-value service does not know the other daemons and must not take
     * them for ended.
     */
    @Test
    void releasesNothingWhileNotRegistered() {
        registered = false;
        addCache("running", "unknown", 1);
        sweepTwice();
        assertEquals(List.of(), released);
        registered = true;
        sweep.sweep();
        assertEquals(List.of(), released, "the grace period begins with the first sweep");
    }

    /** With many daemons, exactly one of them sweeps an engine. */
    @Test
    void exactlyOneDaemonSweepsAnEngine() {
        addCache("dead", "gone", 1);
        int sweeping = 0;
        for (int i = 0; i < 40; i++) {
            members.add(member("other-" + i, 1));
        }
        List<Member> fleet = List.copyOf(members);
        for (Member member : fleet) {
            members.clear();
            members.addAll(fleet);
            members.remove(member);
            members.add(0, member);
            released.clear();
            sweepTwice();
            sweeping += released.isEmpty() ? 0 : 1;
        }
        assertEquals(1, sweeping);
    }

    /** A service whose start and stop do nothing. */
    private abstract static class NoOpService implements Service {
        private final String name;

        NoOpService(String name) {
            this.name = name;
        }

        @Override
        public String name() {
            return name;
        }

        @Override
        public Set<String> dependencies() {
            return Set.of();
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

    private final class FakeMembers extends NoOpService implements MemberDirectory {
        FakeMembers() {
            super(MemberDirectory.NAME);
        }

        @Override
        public Member self() {
            return members.get(0);
        }

        @Override
        public Collection<Member> members() {
            return members;
        }

        @Override
        public boolean registered() {
            return registered;
        }

        @Override
        public void listen(MemberListener listener) {}
    }

    private static final class OneEngineConfiguration extends NoOpService implements ActiveConfiguration {
        OneEngineConfiguration() {
            super(ActiveConfiguration.NAME);
        }

        @Override
        public Optional<ConfigurationSnapshot> current() {
            Configuration objects = new Configuration(
                    new TreeMap<>(),
                    new TreeMap<>(),
                    new TreeMap<>(),
                    new TreeMap<>(),
                    new TreeMap<>(),
                    new TreeMap<>(),
                    new TreeMap<>());
            Upstream engine = new Upstream(
                    ENGINE,
                    Upstream.Kind.ENGINE,
                    new ZoneName("z"),
                    "127.0.0.1",
                    1,
                    Upstream.State.SERVING,
                    Set.of(),
                    2,
                    1,
                    0,
                    0,
                    true);
            objects.upstreams().put(ENGINE, engine);
            return Optional.of(new ConfigurationSnapshot(new Revision(1), "digest", objects));
        }

        @Override
        public void listen(ConfigurationListener listener) {
            current().ifPresent(listener::activated);
        }
    }

    private final class FakeUpstreams extends NoOpService implements UpstreamDirectory {
        FakeUpstreams() {
            super(UpstreamDirectory.NAME);
        }

        @Override
        public Engine engine(UpstreamName name) {
            return new FakeEngine();
        }

        @Override
        public PlainService plainService(UpstreamName name) throws EndiveholdException {
            throw new EndiveholdException(ErrorType.NO_UPSTREAM, name);
        }
    }

    /** An engine that only reports and releases caches. */
    private final class FakeEngine implements Engine {
        @Override
        public StreamHandle start(GenerateRequest request, StreamListener listener) {
            throw new UnsupportedOperationException();
        }

        @Override
        public StreamHandle resume(StreamId stream, long offset, StreamListener listener) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletionStage<Void> cancel(StreamId stream) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletionStage<EngineLoad> loadReport() {
            return CompletableFuture.completedFuture(new EngineLoad(
                    new BootNumber(1), false, 8, 1_000, 100, 0, 0, Set.of(), List.of(), List.copyOf(caches), 0));
        }

        @Override
        public CompletionStage<Void> order(EngineOrder order) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletionStage<CacheHandle> prefillAndExport(GenerateRequest request) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletionStage<Void> release(CacheHandle handle) {
            released.add(handle.id());
            return CompletableFuture.completedFuture(null);
        }

        @Override
        public CompletionStage<List<CacheEvent>> cacheEvents(long after) {
            throw new UnsupportedOperationException();
        }
    }
}
