package org.endivehold.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.SocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.endivehold.misc.Ticker;
import org.endivehold.relay.RelaySettings;
import org.endivehold.relay.connection.ConnectionLimits;
import org.endivehold.relay.peer.DaemonDirectory;
import org.endivehold.relay.peer.DaemonEntry;
import org.endivehold.relay.peer.PeerListener;
import org.endivehold.relay.peer.PeerMesh;
import org.endivehold.relay.peer.PeerMessage;
import org.endivehold.relay.serve.RelayBounds;
import org.endivehold.relay.state.StorePosition;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class RegistrationTest {
    private static final int LIMIT_SECONDS = 20;
    /** The lease of the entry, in milliseconds. */
    private static final int LEASE_MILLIS = 12_000;

    private static final int OUTAGE_STARTS_MILLIS = 6_300;
    private static final int OUTAGE_MILLIS = 4_000;

    private final Vertx vertx = EntryDaemon.createVertx();
    private final CountedStore store = new CountedStore();

    private static final class NoPeers implements PeerListener {
        @Override
        public void onMessage(String daemon, PeerMessage message) {}

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
            return Optional.empty();
        }
    }

    @AfterEach
    void close() throws Exception {
        await(vertx.close());
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(LIMIT_SECONDS, TimeUnit.SECONDS);
    }

    private Registration registration() {
        SocketAddress local = SocketAddress.inetSocketAddress(1, "127.0.0.1");
        RelaySettings settings = new RelaySettings(
                "d",
                "zone",
                1,
                local,
                local,
                local,
                local,
                List.of(),
                local,
                1_000,
                new RelayBounds(4_000, 1, 5, 0.2, 100, 10_000, 3_000),
                ConnectionLimits.of(4_100, 330L << 20, 120L << 20));
        DaemonEntry self = new DaemonEntry("d#1", "127.0.0.1", 1, "zone", 1);
        PeerMesh mesh = new PeerMesh(vertx, Ticker.system(), new DaemonDirectory(self), new NoPeers());
        return new Registration(vertx, store.client(vertx), "daemons/", self, settings, mesh);
    }

    /** The lease expired if the store went out just before a renewal, and the daemon had to register again. */
    @Test
    void theLeaseOutlastsAnOutageThatBeginsJustBeforeARenewal() throws Exception {
        Registration registration = registration();
        vertx.runOnContext(ignored -> registration.start());
        await(vertx.timer(OUTAGE_STARTS_MILLIS, TimeUnit.MILLISECONDS));
        assertEquals(0, store.renewals());
        store.down(true);
        await(vertx.timer(OUTAGE_MILLIS, TimeUnit.MILLISECONDS));
        store.down(false);
        int rest = LEASE_MILLIS - OUTAGE_STARTS_MILLIS - OUTAGE_MILLIS;
        await(vertx.timer(rest, TimeUnit.MILLISECONDS));
        assertEquals(1, store.renewals());
    }
}
