package org.endivehold.relay.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Daemons that delegate requests to each other, over a network that delivers each message at once or never. */
class SharedSchedulerTest {
    private static final int TIMEOUT_SECONDS = 10;
    private static final EngineProfile PROFILE =
            new EngineProfile(2, 100_000, 34, 1.31, 0.001, 0.002, 154, 0.162, 2_048);
    private static final PromptNeed NEED = new PromptNeed(1_000, 100, 300, 250, 0, 10_000);

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final Map<String, Daemon> daemons = new HashMap<>();
    private final BlockingQueue<String> decisions = new LinkedBlockingQueue<>();

    /** A daemon; its decider is the first of {@code deciders} that it does not suspect. */
    private final class Daemon implements SchedulerPeers {
        private final String name;
        private final List<String> deciders;
        private final List<String> suspected = new ArrayList<>();
        private final JobReplicator jobs;
        private final SharedScheduler scheduler;
        private boolean unresponsive;

        Daemon(String name, String... deciders) {
            this.name = name;
            this.deciders = new ArrayList<>(List.of(deciders));
            Ticker ticker = Ticker.system();
            jobs = new JobReplicator(ticker, name, message -> {});
            LocalScheduler local = new LocalScheduler(
                    vertx,
                    ticker,
                    RandomSource.SPLIT_MIX_64.create(1),
                    new TwoEngineFleet(PROFILE),
                    new UpstreamHealth(),
                    jobs,
                    new EngineDivision(KnownDaemons.only(name)));
            scheduler = new SharedScheduler(vertx, ticker, name, local, jobs, this);
            daemons.put(name, this);
        }

        @Override
        public String decider() {
            return deciders.stream()
                    .filter(other -> !suspected.contains(other))
                    .findFirst()
                    .orElse(name);
        }

        @Override
        public void send(String daemon, PeerMessage message) {
            Daemon target = daemons.get(daemon);
            vertx.runOnContext(ignored -> {
                if (!target.unresponsive && !target.scheduler.handleMessage(name, message)) {
                    target.jobs.handleMessage(message);
                }
            });
        }

        @Override
        public void suspect(String daemon) {
            suspected.add(daemon);
        }

        void submit(PromptNeed need) {
            EngineRequest request = new EngineRequest(jobs.nextId(), "engines", need, Set.of(), Set.of(), true);
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

        int usedSlots() {
            return jobs.tracker().usedSlots("e1") + jobs.tracker().usedSlots("e2");
        }
    }

    @AfterEach
    void close() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private String decision() throws InterruptedException {
        return decisions.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private int usedSlots(Daemon daemon) throws Exception {
        return vertx.<Integer>executeBlocking(daemon::usedSlots)
                .toCompletionStage()
                .toCompletableFuture()
                .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    @Test
    void theDeciderTracksTheRequest() throws Exception {
        Daemon decider = new Daemon("decider");
        Daemon asker = new Daemon("asker", "decider");
        vertx.runOnContext(ignored -> asker.submit(NEED));
        assertEquals("placed", decision());
        assertEquals(1, usedSlots(decider));
    }

    /** The decider does not answer, since it is frozen or unreachable. */
    @Test
    void withoutAnAnswerTheNextDaemonDecidesAndFinallyTheDaemonItself() throws Exception {
        new Daemon("first").unresponsive = true;
        Daemon second = new Daemon("second");
        Daemon asker = new Daemon("asker", "first", "second");
        vertx.runOnContext(ignored -> asker.submit(NEED));
        assertEquals("placed", decision());
        assertEquals(1, usedSlots(second));
        second.unresponsive = true;
        vertx.runOnContext(ignored -> asker.submit(NEED));
        assertEquals("placed", decision());
        assertEquals(List.of("first", "second"), asker.suspected);
    }

    /** The engines are full, and the decider is lost while a request waits there. */
    @Test
    void aRequestWaitingAtALostDeciderIsSubmittedAgain() throws Exception {
        Daemon decider = new Daemon("decider");
        Daemon asker = new Daemon("asker", "decider");
        for (int i = 0; i < 4; i++) {
            vertx.runOnContext(ignored -> asker.submit(NEED));
            assertEquals("placed", decision());
        }
        vertx.runOnContext(ignored -> asker.submit(NEED));
        vertx.runOnContext(ignored -> {
            decider.unresponsive = true;
            asker.deciders.clear();
            asker.scheduler.daemonUnreachable("decider");
        });
        assertEquals("placed", decision(), "its own tracker has no other requests");
    }

    @Test
    void aRequestThatCannotMeetItsDeadlineIsRefused() throws Exception {
        new Daemon("decider");
        Daemon asker = new Daemon("asker", "decider");
        vertx.runOnContext(ignored -> asker.submit(new PromptNeed(1_000, 100, 300, 250, 0, 20)));
        assertEquals("refused", decision());
    }

    @Test
    void aWithdrawnRequestLeavesNothingBehind() throws Exception {
        Daemon decider = new Daemon("decider");
        Daemon asker = new Daemon("asker", "decider");
        vertx.runOnContext(ignored -> {
            asker.submit(NEED);
            asker.scheduler.withdraw(new JobId("asker", 0));
            asker.submit(NEED);
        });
        assertEquals("placed", decision());
        assertTrue(decisions.isEmpty());
        assertEquals(1, usedSlots(decider));
    }
}
