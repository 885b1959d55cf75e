package org.endivehold.relay.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.util.ArrayList;
import java.util.List;
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
import org.endivehold.relay.peer.PeerMessage;
import org.endivehold.relay.route.EngineProfile;
import org.endivehold.relay.route.TrafficClass;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** The decisions of one daemon on requests of several customers, with two engines of two slots each. */
class LocalSchedulerTest {
    private static final int TIMEOUT_SECONDS = 10;
    private static final EngineProfile PROFILE =
            new EngineProfile(2, 100_000, 34, 1.31, 0.001, 0.002, 154, 0.162, 2_048);
    /** Output for which an engine needs about 20 seconds. */
    private static final int LONG_OUTPUT = 15_000;

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final JobReplicator jobs = new JobReplicator(Ticker.system(), "self", message -> {});
    private final LocalScheduler scheduler = new LocalScheduler(
            vertx,
            Ticker.system(),
            RandomSource.SPLIT_MIX_64.create(1),
            new TwoEngineFleet(PROFILE),
            new UpstreamHealth(),
            jobs,
            new EngineDivision(KnownDaemons.only("self")));
    private final BlockingQueue<Decision> decisions = new LinkedBlockingQueue<>();
    private final List<EngineJob> placed = new ArrayList<>();

    private record Decision(String name, boolean placed, String reason, double retryAfterMillis) {}

    private final class Recorder implements EngineScheduler.Listener {
        private final String name;
        private String reason = "";

        Recorder(String name) {
            this.name = name;
        }

        @Override
        public void explained(WaitReason why) {
            reason = why.label();
        }

        @Override
        public void placed(EngineJob job, Placement placement) {
            placed.add(job);
            decisions.add(new Decision(name, true, reason, 0));
        }

        @Override
        public void refused(double retryAfterMillis) {
            decisions.add(new Decision(name, false, reason, retryAfterMillis));
        }
    }

    @AfterEach
    void close() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private static TrafficClass customer(String name) {
        return new TrafficClass(name, 0, 1);
    }

    private void submit(String name, PromptNeed need) {
        EngineRequest request = new EngineRequest(jobs.nextId(), "engines", need, Set.of(), Set.of(), true);
        vertx.runOnContext(ignored -> scheduler.submit(request, new Recorder(name)));
    }

    private static PromptNeed need(int outputTokens, double remainingMillis, TrafficClass traffic) {
        return new PromptNeed(1_000, outputTokens, 3_000, 1_000, 0, remainingMillis, traffic);
    }

    private Decision decision() throws InterruptedException {
        return decisions.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private void fillEngines() throws InterruptedException {
        for (int i = 0; i < 4; i++) {
            submit("filler", need(LONG_OUTPUT, 60_000, TrafficClass.DEFAULT));
            assertTrue(decision().placed());
        }
    }

    private void endOne() {
        vertx.runOnContext(ignored -> jobs.end(placed.remove(0)));
    }

    /** Its caller would wait for seconds before it learns that it has to retry. */
    @Test
    void aRequestThatCannotBeServedInItsRemainingTimeIsRefusedAtOnce() throws Exception {
        fillEngines();
        submit("hopeless", need(100, 5_000, customer("a")));
        Decision decision = decision();
        assertEquals("no-time", decision.reason());
        assertTrue(decision.retryAfterMillis() >= 10_000, () -> "retry after " + decision.retryAfterMillis());
        submit("default", need(100, 5_000, TrafficClass.DEFAULT));
        assertNull(decisions.poll(500, TimeUnit.MILLISECONDS), "a request of the default class waits as before");
    }

    /** A request that waited is placed when a job ends, and its caller can be told why it waited. */
    @Test
    void aRequestThatWaitedIsExplained() throws Exception {
        fillEngines();
        submit("waiting", need(100, 15_000, TrafficClass.DEFAULT));
        endOne();
        assertEquals(new Decision("waiting", true, "no-engine", 0), decision());
    }

    /** A new decider that counted only its own placements would prefer the customer that fills the engines. */
    @Test
    void jobsOfOtherDaemonsCountInTheShareOfTheirCustomer() throws Exception {
        for (int i = 0; i < 4; i++) {
            EngineJob job = new EngineJob(
                    new JobId("predecessor", i),
                    List.of("e" + (1 + i % 2)),
                    List.of(2_000L),
                    1_000,
                    1_000,
                    3_000,
                    1_000);
            placed.add(job.withTraffic(customer(i < 3 ? "large" : "small")));
        }
        vertx.runOnContext(ignored -> placed.forEach(job -> jobs.handleMessage(new PeerMessage.JobPlaced(job, true))));
        submit("large", need(1_000, 15_000, customer("large")));
        submit("small", need(1_000, 15_000, customer("small")));
        endOne();
        assertEquals("small", decision().name());
        endOne();
        assertEquals("large", decision().name());
    }
}
