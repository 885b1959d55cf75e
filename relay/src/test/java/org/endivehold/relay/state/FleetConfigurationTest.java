package org.endivehold.relay.state;

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
import java.util.function.BooleanSupplier;
import org.apache.commons.rng.simple.RandomSource;
import org.endivehold.misc.Ticker;
import org.endivehold.relay.limit.KnownDaemons;
import org.endivehold.relay.limit.UpstreamAvailability;
import org.endivehold.relay.limit.UpstreamHealth;
import org.endivehold.relay.limit.UpstreamRateLimits;
import org.endivehold.relay.peer.ConfigurationExchange;
import org.endivehold.relay.peer.CopyExchange;
import org.endivehold.relay.peer.DaemonDirectory;
import org.endivehold.relay.peer.DaemonEntry;
import org.endivehold.relay.peer.PeerListener;
import org.endivehold.relay.peer.PeerMesh;
import org.endivehold.relay.peer.PeerMessage;
import org.endivehold.relay.route.RoutingTable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** The configuration in force at the daemons of a small fleet on loopback, by the time within which it has to be. */
class FleetConfigurationTest {
    private static final int LIMIT_SECONDS = 10;
    /** Time within which a confirmed configuration is in force, in milliseconds. */
    private static final int APPLY_MILLIS = 2_000;

    private static final int POLL_MILLIS = 5;

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final FakeStore store = new FakeStore();
    private final List<Daemon> daemons = new ArrayList<>();

    /** The store over a connection that stops delivering answers to watches. */
    private final class SilentWatches implements SharedStore {
        private final Promise<Changes> never = Promise.promise();

        @Override
        public Future<Range> range(String prefix) {
            return store.range(prefix);
        }

        @Override
        public Future<Changes> watch(String prefix, StorePosition after, int waitMillis) {
            return never.future();
        }

        @Override
        public Future<Void> ping() {
            return store.ping();
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

    /** A daemon that only holds the operators' entries. */
    private final class Daemon implements PeerListener {
        private final FleetState fleet;
        private final WatchedPrefix copy;
        private final DaemonEntry entry;
        private final PeerMesh mesh;
        private final StoreHeartbeat heartbeat;
        private final CopyExchange copies;
        private final ConfigurationExchange configurations;

        Daemon(String name, SharedStore itsStore) throws Exception {
            fleet = new FleetState(
                    new PlainTextDecoder(),
                    Ticker.system(),
                    new UpstreamAvailability(new UpstreamHealth(), new UpstreamRateLimits(KnownDaemons.only("d"))),
                    new UndisturbedAges());
            copy = new WatchedPrefix(
                    vertx, itsStore, "o/", Ticker.system(), RandomSource.SPLIT_MIX_64.create(1), fleet);
            try (ServerSocket socket = new ServerSocket(0)) {
                entry = new DaemonEntry(name, "127.0.0.1", socket.getLocalPort(), "zone", 1);
            }
            DaemonDirectory directory = new DaemonDirectory(entry);
            mesh = new PeerMesh(vertx, Ticker.system(), directory, this);
            heartbeat = new StoreHeartbeat(vertx, Ticker.system(), itsStore, List.of(copy));
            copies = new CopyExchange(vertx, directory, List.of(copy), heartbeat, mesh);
            configurations = new ConfigurationExchange(vertx, fleet.configuration(), mesh);
            mesh.start().toCompletionStage().toCompletableFuture().get(LIMIT_SECONDS, TimeUnit.SECONDS);
            daemons.add(this);
            List<DaemonEntry> known = daemons.stream().map(d -> d.entry).toList();
            vertx.runOnContext(ignored -> {
                copy.start();
                heartbeat.start();
                mesh.addDaemons(known);
            });
        }

        long version() {
            return fleet.table().map(RoutingTable::version).orElse(0L);
        }

        @Override
        public void onMessage(String daemon, PeerMessage message) {
            if (!copies.handle(daemon, message)) {
                configurations.handle(daemon, message);
            }
        }

        @Override
        public void onDisconnected(String daemon) {}

        @Override
        public void onUnreachable(String daemon) {}

        @Override
        public List<PeerMessage> initialMessages() {
            return welcomeMessages();
        }

        @Override
        public List<PeerMessage> welcomeMessages() {
            return configurations.announcement().stream().toList();
        }

        @Override
        public Optional<PeerMessage.Copy> copy(String prefix, StorePosition newerThan) {
            return copies.copy(prefix, newerThan);
        }
    }

    @AfterEach
    void close() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(LIMIT_SECONDS, TimeUnit.SECONDS);
    }

    private void publish(long version) {
        vertx.runOnContext(ignored -> store.write("o/config", Long.toString(version)));
    }

    /** Waits until a condition holds on the event loop, for at most a time in milliseconds. */
    private void await(String what, int limitMillis, BooleanSupplier condition) throws Exception {
        CompletableFuture<Void> met = new CompletableFuture<>();
        vertx.runOnContext(ignored -> vertx.setPeriodic(POLL_MILLIS, timer -> {
            if (condition.getAsBoolean()) {
                vertx.cancelTimer(timer);
                met.complete(null);
            }
        }));
        try {
            met.get(limitMillis, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            throw new AssertionError(what + " within " + limitMillis + " ms", e);
        }
    }

    private boolean allHave(long version) {
        return daemons.stream().allMatch(daemon -> daemon.version() == version);
    }

    /** Guards against a daemon that relies on its own watch alone, while others of a small fleet know of the change. */
    @Test
    void aDaemonWhoseWatchIsSilentFollowsTheOthers() throws Exception {
        publish(1);
        for (String name : List.of("a#1", "b#1", "c#1")) {
            new Daemon(name, store);
        }
        Daemon silent = new Daemon("d#1", new SilentWatches());
        await("all have the first version", LIMIT_SECONDS * 1_000, () -> allHave(1));
        publish(2);
        await("the daemon has the second version", APPLY_MILLIS, () -> silent.version() == 2);
    }

    /** Guards against a start between a restore and the operators' next write: store and copies hold the older one. */
    @Test
    void aDaemonThatStartsAfterARestoreTakesTheNewestVersionInForce() throws Exception {
        publish(1);
        for (String name : List.of("a#1", "b#1")) {
            new Daemon(name, store);
        }
        await("all have the first version", LIMIT_SECONDS * 1_000, () -> allHave(1));
        FakeStore.Backup backup = store.backup();
        publish(2);
        await("all have the second version", LIMIT_SECONDS * 1_000, () -> allHave(2));
        vertx.runOnContext(ignored -> store.restore(backup));
        Daemon started = new Daemon("c#2", store);
        await("the daemon has the second version", APPLY_MILLIS, () -> started.version() == 2);
    }
}
