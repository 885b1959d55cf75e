package org.endivehold.relay.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.SocketAddress;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.simple.RandomSource;
import org.endivehold.relay.path.PathMonitor;
import org.endivehold.relay.route.RoutingTable;
import org.endivehold.relay.route.UpstreamEntry;
import org.endivehold.relay.serve.ProcessCheck.Result;
import org.endivehold.relay.state.FleetView;
import org.endivehold.relay.state.Upstream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Links that are cut by resets refuse connections like upstreams that have ended. If that counted as crashes, the
 * requests that were in progress would be barred after three cuts.
 */
class ReferencedCheckTest {
    private final Vertx vertx = Vertx.vertx();

    @AfterEach
    void close() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    private static Upstream upstream(String id, int port) {
        SocketAddress address = SocketAddress.inetSocketAddress(port, "127.0.0.1");
        return new Upstream(new UpstreamEntry(id, "s", address, "z", 4, false, 0, 1), 0);
    }

    /** A fleet of some upstreams of one service. */
    private record Fleet(List<Upstream> all) implements FleetView {
        @Override
        public boolean complete() {
            return true;
        }

        @Override
        public Optional<RoutingTable> table() {
            return Optional.empty();
        }

        @Override
        public double sinceTableConfirmedMillis() {
            return 0;
        }

        @Override
        public Collection<Upstream> upstreams(String service) {
            return all;
        }

        @Override
        public Collection<Upstream> upstreams() {
            return all;
        }

        @Override
        public Collection<String> services() {
            return List.of("s");
        }

        @Override
        public Optional<Upstream> upstream(String id) {
            return all.stream().filter(upstream -> upstream.id().equals(id)).findFirst();
        }
    }

    @ParameterizedTest(name = "{0} of {1} upstreams, another one reached: {2}")
    @CsvSource({
        "ENDED,   2, true,  ENDED",
        "ENDED,   2, false, UNKNOWN",
        "ENDED,   1, false, ENDED",
        "ALIVE,   2, false, ALIVE",
        "UNKNOWN, 2, true,  UNKNOWN",
    })
    void aRefusalCountsIfAnotherUpstreamIsReached(Result seen, int upstreams, boolean reached, Result result)
            throws Exception {
        List<Upstream> all = List.of(upstream("a", 1), upstream("b", 2)).subList(0, upstreams);
        PathMonitor paths = new PathMonitor(
                vertx,
                () -> 0,
                RandomSource.SPLIT_MIX_64.create(1),
                new Fleet(all),
                address -> Future.succeededFuture(reached));
        ProcessCheck check = new ReferencedCheck(address -> Future.succeededFuture(seen), paths);
        assertEquals(
                result,
                check.check(all.get(0).entry().address())
                        .toCompletionStage()
                        .toCompletableFuture()
                        .get(10, TimeUnit.SECONDS));
    }
}
