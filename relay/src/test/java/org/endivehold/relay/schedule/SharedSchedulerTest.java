package org.endivehold.relay.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.simple.RandomSource;
import org.endivehold.misc.Ticker;
import org.endivehold.relay.engine.EngineJob;
import org.endivehold.relay.engine.JobId;
import org.endivehold.relay.engine.Placement;
import org.endivehold.relay.engine.PromptNeed;
import org.endivehold.relay.limit.UpstreamHealth;
import org.endivehold.relay.peer.PeerMessage;
import org.endivehold.relay.route.EngineProfile;
import org.endivehold.relay.route.RelayService;
import org.endivehold.relay.route.RoutingTable;
import org.endivehold.relay.route.UpstreamEntry;
import org.endivehold.relay.state.FleetView;
import org.endivehold.relay.state.Upstream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Daemons that ask one another for engines, with messages that arrive, or do not, at once. */
class SharedSchedulerTest {
    private static final int LIMIT_SECONDS = 10;
    private static final EngineProfile PROFILE =
            new EngineProfile(2, 100_000, 34, 1.31, 0.001, 0.002, 154, 0.162, 2_048);
    private static final PromptNeed NEED = new PromptNeed(1_000, 100, 300, 250, 0, 10_000);

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final Map<String, Daemon> daemons = new HashMap<>();
    private final BlockingQueue<String> decisions = new LinkedBlockingQueue<>();

    /** Two engines of one service. */
    private static final class Fleet implements FleetView {
        private final RoutingTable table = RoutingTable.builder(1)
                .service(new RelayService("engines", "/health", 100, 0, Optional.of(PROFILE)))
                .build();

        @Override
        public boolean complete() {
            return true;
        }

        @Override
        public Optional<RoutingTable> table() {
            return Optional.of(table);
        }

        @Override
        public Collection<Upstream> upstreams(String service) {
            return List.of(upstream("e1").orElseThrow(), upstream("e2").orElseThrow());
        }

        @Override
        public Optional<Upstream> upstream(String id) {
            return Optional.of(new Upstream(new UpstreamEntry(id, "engines", null, "zone", 2, false, 0), 0));
        }
    }

    /** A daemon; the first of {@code askable} that it does not suspect decides for it. */
    private final class Daemon implements SchedulerPeers {
        private final String name;
        private final List<String> askable;
        private final List<String> suspected = new ArrayList<>();
        private final EngineWork engines;
        private final SharedScheduler scheduler;
        private boolean deaf;

        Daemon(String name, String... askable) {
            this.name = name;
            this.askable = new ArrayList<>(List.of(askable));
            Ticker ticker = Ticker.system();
            engines = new EngineWork(ticker, name, message -> {});
            LocalScheduler local = new LocalScheduler(
                    vertx, ticker, RandomSource.SPLIT_MIX_64.create(1), new Fleet(), new UpstreamHealth(), engines);
            scheduler = new SharedScheduler(vertx, ticker, name, local, engines, this);
            daemons.put(name, this);
        }

        @Override
        public String decider() {
            return askable.stream()
                    .filter(other -> !suspected.contains(other))
                    .findFirst()
                    .orElse(name);
        }

        @Override
        public void send(String daemon, PeerMessage message) {
            Daemon target = daemons.get(daemon);
            vertx.runOnContext(later -> {
                if (!target.deaf && !target.scheduler.told(name, message)) {
                    target.engines.told(message);
                }
            });
        }

        @Override
        public void suspect(String daemon) {
            suspected.add(daemon);
        }

        void want(PromptNeed need) {
            EngineRequest request = new EngineRequest(engines.nextId(), "engines", need, Set.of(), Set.of(), true);
            scheduler.submit(request, new EngineScheduler.Listener() {
                @Override
                public void placed(EngineJob job, Placement placement) {
                    decisions.add("placed");
                }

                @Override
                public void refused(double retryAfterMillis) {
                    decisions.add("refused");
                }
            });
        }

        int occupied() {
            return engines.board().usedSlots("e1") + engines.board().usedSlots("e2");
        }
    }

    @AfterEach
    void close() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(LIMIT_SECONDS, TimeUnit.SECONDS);
    }

    private String decision() throws InterruptedException {
        return decisions.poll(LIMIT_SECONDS, TimeUnit.SECONDS);
    }

    private int occupied(Daemon daemon) throws Exception {
        return vertx.<Integer>executeBlocking(daemon::occupied)
                .toCompletionStage()
                .toCompletableFuture()
                .get(LIMIT_SECONDS, TimeUnit.SECONDS);
    }

    @Test
    void theDeciderKeepsTheRequestInItsAccount() throws Exception {
        Daemon keeper = new Daemon("keeper");
        Daemon leaf = new Daemon("leaf", "keeper");
        vertx.runOnContext(go -> leaf.want(NEED));
        assertEquals("placed", decision());
        assertEquals(1, occupied(keeper));
    }

    /** Pattern: the deciding daemon is frozen or cut off. */
    @Test
    void withoutAnAnswerTheNextOneDecidesAndInTheEndTheDaemonItself() throws Exception {
        new Daemon("first").deaf = true;
        Daemon second = new Daemon("second");
        Daemon leaf = new Daemon("leaf", "first", "second");
        vertx.runOnContext(go -> leaf.want(NEED));
        assertEquals("placed", decision());
        assertEquals(1, occupied(second));
        second.deaf = true;
        vertx.runOnContext(go -> leaf.want(NEED));
        assertEquals("placed", decision());
        assertEquals(List.of("first", "second"), leaf.suspected);
    }

    /** Pattern: the engines are full, and the daemon that decides is lost while a request waits with it. */
    @Test
    void whatWaitsIsAskedForAgain() throws Exception {
        Daemon keeper = new Daemon("keeper");
        Daemon leaf = new Daemon("leaf", "keeper");
        for (int i = 0; i < 4; i++) {
            vertx.runOnContext(go -> leaf.want(NEED));
            assertEquals("placed", decision());
        }
        vertx.runOnContext(go -> leaf.want(NEED));
        vertx.runOnContext(go -> {
            keeper.deaf = true;
            leaf.askable.clear();
            leaf.scheduler.unreachable("keeper");
        });
        assertEquals("placed", decision(), "its own account has no other requests");
    }

    @Test
    void whatCannotStartInTimeIsRefused() throws Exception {
        new Daemon("keeper");
        Daemon leaf = new Daemon("leaf", "keeper");
        vertx.runOnContext(go -> leaf.want(new PromptNeed(1_000, 100, 300, 250, 0, 20)));
        assertEquals("refused", decision());
    }

    @Test
    void aWithdrawnRequestLeavesNothingBehind() throws Exception {
        Daemon keeper = new Daemon("keeper");
        Daemon leaf = new Daemon("leaf", "keeper");
        vertx.runOnContext(go -> {
            leaf.want(NEED);
            leaf.scheduler.withdraw(new JobId("leaf", 0));
            leaf.want(NEED);
        });
        assertEquals("placed", decision());
        assertTrue(decisions.isEmpty());
        assertEquals(1, occupied(keeper));
    }
}
