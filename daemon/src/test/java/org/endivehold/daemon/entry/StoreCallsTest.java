package org.endivehold.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.endivehold.misc.LogEvent;
import org.endivehold.relay.RelaySettings;
import org.endivehold.relay.connection.ConnectionLimits;
import org.endivehold.relay.serve.RelayBounds;
import org.jboss.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Counts the store calls of a large fleet at a simultaneous start, in calm operation and in an outage of the store. */
class StoreCallsTest {
    private static final int FLEET = 15;
    private static final int ZONES = 3;
    private static final int PORTS_OF_A_DAEMON = 4;
    private static final int LIMIT_SECONDS = 20;

    private static final int START_MILLIS = 6_000;
    private static final int CALM_MILLIS = 14_000;
    private static final int OUTAGE_MILLIS = 4_000;
    private static final int RECOVERY_MILLIS = 4_000;

    private static final Set<String> CHEAP = Set.of("renew", "stale_range", "ping");
    private static final double MAX_START_PRICE = 115;
    private static final double MAX_CALM_PRICE = 38;
    private static final double MAX_OUTAGE_PRICE = 200;

    private static final Logger log = Logger.getLogger(StoreCallsTest.class);

    private final CountedStore store = new CountedStore();
    private final List<Vertx> loops = new ArrayList<>();

    @AfterEach
    void close() throws Exception {
        for (Vertx vertx : loops) {
            await(vertx.close());
        }
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(LIMIT_SECONDS, TimeUnit.SECONDS);
    }

    private void startFleet() throws Exception {
        FreePorts ports = FreePorts.find(FLEET * PORTS_OF_A_DAEMON);
        List<SocketAddress> peers = new ArrayList<>();
        for (int i = 0; i < FLEET; i++) {
            peers.add(local(ports.next()));
        }
        List<EntryDaemon> daemons = new ArrayList<>();
        for (int i = 0; i < FLEET; i++) {
            daemons.add(daemon(i, peers, ports));
        }
        daemons.forEach(EntryDaemon::start);
    }

    private EntryDaemon daemon(int index, List<SocketAddress> peers, FreePorts ports) {
        RelaySettings settings = new RelaySettings(
                "daemon-" + index,
                "zone-" + index % ZONES,
                1,
                local(ports.next()),
                local(ports.next()),
                peers.get(index),
                local(ports.next()),
                peers.subList(0, ZONES),
                local(1),
                1_000,
                new RelayBounds(4_000, 1, 5, 0.2, 100, 10_000, 3_000),
                ConnectionLimits.of(4_100, 330L << 20, 120L << 20));
        Vertx vertx = EntryDaemon.createVertx();
        loops.add(vertx);
        return new EntryDaemon(
                vertx,
                settings,
                store.client(vertx),
                new TestFleet.Decoder(),
                new TestDialect(),
                new TestFleet.NoMemoryClient());
    }

    private static SocketAddress local(int port) {
        return SocketAddress.inetSocketAddress(port, "127.0.0.1");
    }

    /**
     * Returns the price of the calls during a time; renewals, and pings and other reads that may be stale, cost a tenth
     * of other calls.
     */
    private double priceDuring(String phase, int millis) throws Exception {
        await(loops.get(0).timer(millis, TimeUnit.MILLISECONDS));
        Map<String, Integer> calls = store.takeCalls();
        LogEvent.of("store-calls").with("phase", phase).with("calls", calls).info(log);
        return calls.entrySet().stream()
                .mapToDouble(call -> call.getValue() * (CHEAP.contains(call.getKey()) ? 0.1 : 1))
                .sum();
    }

    /** Before, a start cost 155, calm operation 64, and an outage with the time after it 252. */
    @Test
    void aLargeFleetMakesFewCalls() throws Exception {
        store.write("operators/configuration", "1");
        store.write("up/plain-0", "1");
        startFleet();
        double start = priceDuring("start", START_MILLIS);
        double calm = priceDuring("calm", CALM_MILLIS);
        store.down(true);
        double outage = priceDuring("outage", OUTAGE_MILLIS);
        store.down(false);
        outage += priceDuring("recovery", RECOVERY_MILLIS);
        assertTrue(start <= MAX_START_PRICE, "start: " + start);
        assertTrue(calm <= MAX_CALM_PRICE, "calm: " + calm);
        assertTrue(outage <= MAX_OUTAGE_PRICE, "outage: " + outage);
    }
}
