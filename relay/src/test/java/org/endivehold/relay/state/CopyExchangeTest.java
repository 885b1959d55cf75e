package org.endivehold.relay.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.apache.commons.rng.simple.RandomSource;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.misc.Ticker;
import org.endivehold.relay.peer.CopyExchange;
import org.endivehold.relay.peer.DaemonDirectory;
import org.endivehold.relay.peer.DaemonEntry;
import org.endivehold.relay.peer.PeerListener;
import org.endivehold.relay.peer.PeerMesh;
import org.endivehold.relay.peer.PeerMessage;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A large fleet on loopback with one in-memory store. */
class CopyExchangeTest {
    private static final int LIMIT_SECONDS = 15;
    private static final int FLEET = 12;
    private static final int ZONES = 3;
    /** Time within which a change of the store is known to all daemons, in milliseconds. */
    private static final int APPLY_MILLIS = 2_000;

    private static final int WATCHERS = 2;
    private static final int PING_TIMEOUT_MILLIS = 600;
    /** Checks in a row by which a state counts as lasting. */
    private static final int LASTING_CHECKS = 20;

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final FakeStore store = new FakeStore();
    private final List<Daemon> daemons = new ArrayList<>();

    /** What happens to a coordinator. */
    enum Fault {
        NONE,
        /** It does nothing any more; its connections stay open. */
        FROZEN,
        /** The store refuses its calls. */
        REFUSED,
        /** Its connections to the store deliver nothing. */
        SILENT
    }

    /** One daemon's client of the store. */
    private final class Client implements SharedStore {
        private final Promise<Changes> never = Promise.promise();
        private Fault fault = Fault.NONE;

        private <T> Future<T> refused() {
            return Future.failedFuture(new EndiveholdException(ErrorType.STORE_UNAVAILABLE, "refused"));
        }

        @Override
        public Future<Range> range(String prefix) {
            return fault == Fault.NONE ? store.range(prefix) : refused();
        }

        @Override
        public Future<Changes> watch(String prefix, StorePosition after, int waitMillis) {
            return switch (fault) {
                case NONE ->
                    store.watch(prefix, after, waitMillis)
                            .compose(
                                    changes -> fault == Fault.SILENT ? never.future() : Future.succeededFuture(changes))
                            .compose(changes -> fault == Fault.NONE ? Future.succeededFuture(changes) : refused());
                case SILENT -> never.future();
                default -> refused();
            };
        }

        @Override
        public Future<Void> ping() {
            return switch (fault) {
                case NONE -> store.ping();
                case SILENT ->
                    vertx.timer(PING_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).compose(expired -> refused());
                default -> refused();
            };
        }

        @Override
        public Future<StoreLease> grantLease(int ttlMillis) {
            return store.grantLease(ttlMillis);
        }

        @Override
        public Future<Void> renewLease(StoreLease lease) {
            return store.renewLease(lease);
        }

        @Override
        public Future<Void> revokeLease(StoreLease lease) {
            return store.revokeLease(lease);
        }

        @Override
        public Future<Void> put(String key, Buffer value, StoreLease lease) {
            return store.put(key, value, lease);
        }
    }

    /** A daemon that only replicates one prefix. */
    private final class Daemon implements PeerListener, ItemListener {
        private final Client client = new Client();
        private final WatchedPrefix copy =
                new WatchedPrefix(vertx, client, "s/", Ticker.system(), RandomSource.SPLIT_MIX_64.create(1), this);
        private final DaemonEntry entry;
        private final DaemonDirectory directory;
        private final PeerMesh mesh;
        private final StoreHeartbeat heartbeat;
        private final CopyExchange exchange;
        private int changesOfOtherZones;

        Daemon(String name, String zone) throws Exception {
            try (ServerSocket socket = new ServerSocket(0)) {
                entry = new DaemonEntry(name, "127.0.0.1", socket.getLocalPort(), zone, 1);
            }
            directory = new DaemonDirectory(entry);
            mesh = new PeerMesh(vertx, Ticker.system(), directory, this);
            heartbeat = new StoreHeartbeat(vertx, Ticker.system(), client, List.of(copy));
            exchange = new CopyExchange(vertx, directory, List.of(copy), heartbeat, mesh);
            mesh.start().toCompletionStage().toCompletableFuture().get(LIMIT_SECONDS, TimeUnit.SECONDS);
        }

        void begin(List<DaemonEntry> fleet) {
            copy.start();
            heartbeat.start();
            mesh.addDaemons(fleet);
        }

        @Override
        public void written(SharedStore.Item item) {}

        @Override
        public void removed(String key) {}

        @Override
        public void onMessage(String daemon, PeerMessage message) {
            if (client.fault == Fault.FROZEN) {
                return;
            }
            if (message instanceof PeerMessage.CopyChanged && !zoneOf(daemon).equals(entry.zone())) {
                changesOfOtherZones++;
            }
            exchange.handle(daemon, message);
        }

        @Override
        public void onDisconnected(String daemon) {}

        @Override
        public void onUnreachable(String daemon) {}

        @Override
        public List<PeerMessage> initialMessages() {
            return List.of();
        }

        @Override
        public Optional<PeerMessage.Copy> copy(String prefix, StorePosition newerThan) {
            return exchange.copy(prefix, newerThan);
        }
    }

    private String zoneOf(String name) {
        return daemons.stream()
                .map(daemon -> daemon.entry)
                .filter(entry -> entry.name().equals(name))
                .findFirst()
                .orElseThrow()
                .zone();
    }

    @AfterEach
    void close() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(LIMIT_SECONDS, TimeUnit.SECONDS);
    }

    /** Runs a step periodically until a condition holds. */
    private void until(String what, Runnable step, BooleanSupplier condition) throws Exception {
        CompletableFuture<Void> met = new CompletableFuture<>();
        vertx.runOnContext(ignored -> vertx.setPeriodic(20, timer -> {
            step.run();
            if (condition.getAsBoolean()) {
                vertx.cancelTimer(timer);
                met.complete(null);
            }
        }));
        try {
            met.get(LIMIT_SECONDS, TimeUnit.SECONDS);
        } catch (TimeoutException e) {
            throw new AssertionError(what, e);
        }
    }

    private void fleet() throws Exception {
        for (int i = 0; i < FLEET; i++) {
            daemons.add(new Daemon("d" + i + "#1", "zone-" + i % ZONES));
        }
        List<DaemonEntry> entries = daemons.stream().map(daemon -> daemon.entry).toList();
        vertx.runOnContext(ignored -> {
            store.write("s/a", "1");
            daemons.forEach(daemon -> daemon.begin(entries));
        });
        until("only the first coordinators watch", store::completeWatches, () -> store.watches() == WATCHERS);
    }

    @Test
    void coordinatorsWatchAndAllDaemonsReceiveChanges() throws Exception {
        fleet();
        vertx.runOnContext(ignored -> store.write("s/b", "2"));
        until("all know", () -> {}, () -> daemons.stream()
                .allMatch(d -> d.copy.items().size() == 2));
        assertEquals(FLEET, store.ranges());
    }

    private List<DaemonEntry> coordinators() {
        return daemons.get(0).directory.coordinators();
    }

    private boolean allKnow(String key) {
        return daemons.stream()
                .filter(daemon -> daemon.client.fault != Fault.FROZEN)
                .allMatch(daemon -> knows(daemon, key));
    }

    private static boolean knows(Daemon daemon, String key) {
        return daemon.copy.items().stream().anyMatch(item -> item.key().equals(key));
    }

    /** All three coordinators sent each change in full to all daemons of all zones. */
    @Test
    void aChangeTravelsToAnotherZoneOnlyForItsCoordinator() throws Exception {
        fleet();
        vertx.runOnContext(ignored -> store.write("s/b", "2"));
        until("all know", () -> {}, () -> allKnow("s/b"));
        List<DaemonEntry> coordinators = coordinators();
        for (Daemon daemon : daemons) {
            int limit = coordinators.contains(daemon.entry) ? WATCHERS : 0;
            assertTrue(daemon.changesOfOtherZones <= limit, () -> daemon.entry + " got " + daemon.changesOfOtherZones);
        }
    }

    /** The daemons of a zone whose coordinator does not forward a change would not learn of it in time. */
    @ParameterizedTest(name = "coordinator {0} is {1}")
    @CsvSource({
        "0, FROZEN",
        "1, FROZEN",
        "2, FROZEN",
        "0, REFUSED",
        "1, REFUSED",
        "2, REFUSED",
        "0, SILENT",
        "1, SILENT",
        "2, SILENT"
    })
    void aChangeReachesAllDaemonsInTimeWhateverHappensToACoordinator(int rank, Fault fault) throws Exception {
        fleet();
        DaemonEntry lost = coordinators().get(rank);
        CompletableFuture<Long> written = new CompletableFuture<>();
        vertx.runOnContext(ignored -> {
            for (Daemon daemon : daemons) {
                if (daemon.entry.equals(lost)) {
                    daemon.client.fault = fault;
                }
            }
            store.write("s/b", "2");
            written.complete(System.nanoTime());
        });
        until("all know", () -> {}, () -> allKnow("s/b"));
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - written.get());
        assertTrue(millis <= APPLY_MILLIS, () -> millis + " ms");
    }

    /**
     * Guards against daemons that rely on watchers which no longer hear from the store: these went on announcing their
     * copies for a whole wait of a watch, longer than a change may take.
     */
    @ParameterizedTest(name = "the first {0} coordinators are {1}")
    @CsvSource({"2, FROZEN", "2, REFUSED", "2, SILENT", "3, FROZEN", "3, REFUSED", "3, SILENT"})
    void aChangeReachesAllOtherDaemonsInTimeWhenTheWatchersAreLost(int lost, Fault fault) throws Exception {
        fleet();
        List<DaemonEntry> coordinators = coordinators().subList(0, lost);
        List<Daemon> others =
                daemons.stream().filter(d -> !coordinators.contains(d.entry)).toList();
        CompletableFuture<Long> written = new CompletableFuture<>();
        vertx.runOnContext(ignored -> {
            daemons.stream().filter(d -> !others.contains(d)).forEach(d -> d.client.fault = fault);
            store.write("s/b", "2");
            written.complete(System.nanoTime());
        });
        until("the others know", () -> {}, () -> others.stream().allMatch(d -> knows(d, "s/b")));
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - written.get());
        assertTrue(millis <= APPLY_MILLIS, () -> millis + " ms");
    }

    /** Both watchers are lost: each of the other daemons went on watching for itself. */
    @Test
    void theThirdCoordinatorWatchesForAllWhenTheFirstTwoAreLost() throws Exception {
        fleet();
        List<DaemonEntry> watchers = daemons.get(0).directory.storeWatchers();
        for (Daemon daemon : daemons) {
            if (watchers.contains(daemon.entry)) {
                vertx.runOnContext(ignored -> daemon.copy.close());
            }
        }
        AtomicInteger checks = new AtomicInteger();
        until(
                "the third one watches",
                store::completeWatches,
                () -> LASTING_CHECKS == (store.watches() == 1 ? checks.incrementAndGet() : checks.getAndSet(0)));
        vertx.runOnContext(ignored -> store.write("s/b", "2"));
        until("all know", () -> {}, () -> daemons.stream()
                .filter(d -> !watchers.contains(d.entry))
                .allMatch(d -> d.copy.items().size() == 2));
    }

    /** The hosts of all coordinators are down or cannot reach the store. */
    @Test
    void daemonsWatchThemselvesWhenNoCoordinatorDoes() throws Exception {
        fleet();
        List<DaemonEntry> coordinators = daemons.get(0).directory.coordinators();
        for (Daemon daemon : daemons) {
            if (coordinators.contains(daemon.entry)) {
                vertx.runOnContext(ignored -> daemon.copy.close());
            }
        }
        List<Daemon> others =
                daemons.stream().filter(d -> !coordinators.contains(d.entry)).toList();
        vertx.runOnContext(ignored -> store.write("s/b", "2"));
        until("all know", () -> {}, () -> others.stream()
                .allMatch(d -> d.copy.items().size() == 2));
        assertTrue(coordinators.size() < FLEET);
    }
}
