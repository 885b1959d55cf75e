package org.endivehold.relay.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
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
import org.endivehold.relay.limit.KnownDaemons;
import org.endivehold.relay.limit.UpstreamHealth;
import org.endivehold.relay.route.EngineProfile;
import org.endivehold.relay.route.RelayService;
import org.endivehold.relay.route.RoutingTable;
import org.endivehold.relay.route.TrafficClass;
import org.endivehold.relay.route.UpstreamEntry;
import org.endivehold.relay.state.FleetView;
import org.endivehold.relay.state.Upstream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** A scheduler that keeps room for a large request while others wait for the same engine. */
class LocalSchedulerRoomTest {
    private static final int TIMEOUT_SECONDS = 10;
    /** Turns are at most 25 ms apart; a request that is not placed within this time waits. */
    private static final int SEVERAL_TURNS_MILLIS = 300;

    private static final EngineProfile PROFILE = new EngineProfile(8, 100_000, 34, 1.31, 0.001, 0.002, 154, 0, 2_048);
    private static final TrafficClass TRAFFIC = new TrafficClass("customer", 0, 0);

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final JobReplicator jobs = new JobReplicator(Ticker.system(), "self", message -> {});
    private final LocalScheduler scheduler = new LocalScheduler(
            vertx,
            Ticker.system(),
            RandomSource.SPLIT_MIX_64.create(1),
            new Fleet(),
            new UpstreamHealth(),
            jobs,
            new EngineDivision(KnownDaemons.only("self")));
    private final BlockingQueue<String> decisions = new LinkedBlockingQueue<>();
    private final Map<String, EngineJob> placed = new HashMap<>();

    /** One engine. */
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
        public double sinceTableConfirmedMillis() {
            return 0;
        }

        @Override
        public Collection<Upstream> upstreams(String service) {
            return List.of(upstream("e1").orElseThrow());
        }

        @Override
        public Collection<Upstream> upstreams() {
            return upstreams("engines");
        }

        @Override
        public Collection<String> services() {
            return List.of("engines");
        }

        @Override
        public Optional<Upstream> upstream(String id) {
            return Optional.of(new Upstream(new UpstreamEntry(id, "engines", null, "zone", 8, false, 0, 0), 0));
        }
    }

    @AfterEach
    void close() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private void submit(String name, long prompt, long output, TrafficClass traffic) {
        PromptNeed need = new PromptNeed(prompt, output, 30_000, 5_000, 0, 60_000, traffic);
        JobId id = jobs.nextId();
        vertx.runOnContext(ignored -> scheduler.submit(
                new EngineRequest(id, "engines", need, Set.of(), Set.of(), true), new EngineScheduler.Listener() {
                    @Override
                    public void placed(EngineJob job, Placement placement) {
                        placed.put(name, job);
                        decisions.add("placed " + name);
                    }

                    @Override
                    public void refused(double retryAfterMillis) {
                        decisions.add("refused " + name);
                    }
                }));
    }

    private void end(String name) {
        vertx.runOnContext(ignored -> jobs.end(placed.get(name)));
    }

    private String decision() throws InterruptedException {
        return decisions.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private String decisionWithinSeveralTurns() throws InterruptedException {
        return decisions.poll(SEVERAL_TURNS_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void fillEngine(TrafficClass traffic) throws InterruptedException {
        submit("first", 40_000, 4_000, traffic);
        assertEquals("placed first", decision());
        submit("second", 40_000, 5_000, traffic);
        assertEquals("placed second", decision());
        submit("large", 88_000, 100, traffic);
        assertEquals(null, decisionWithinSeveralTurns());
    }

    /** Short requests took the memory that came free, and the large one was never placed. */
    @Test
    void roomThatComesFreeIsKeptForTheLargeRequest() throws Exception {
        fillEngine(TRAFFIC);
        end("first");
        submit("short", 20_000, 20_000, TRAFFIC);
        assertEquals(null, decisionWithinSeveralTurns());
        end("second");
        assertEquals("placed large", decision());
        end("large");
        assertEquals("placed short", decision());
    }

    /** A withdrawn request kept its room. */
    @Test
    void theRoomOfAWithdrawnRequestIsUsedByOthers() throws Exception {
        fillEngine(TRAFFIC);
        end("first");
        submit("short", 20_000, 20_000, TRAFFIC);
        assertEquals(null, decisionWithinSeveralTurns());
        vertx.runOnContext(ignored -> scheduler.withdraw(new JobId("self", 2)));
        assertEquals("placed short", decision());
    }

    @Test
    void requestsOfTheDefaultClassKeepNoRoom() throws Exception {
        fillEngine(TrafficClass.DEFAULT);
        end("first");
        submit("short", 20_000, 20_000, TrafficClass.DEFAULT);
        assertEquals("placed short", decision());
    }
}
