package org.endivehold.relay.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.SocketAddress;
import java.io.IOException;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import org.endivehold.misc.Ticker;
import org.endivehold.relay.engine.EngineJob;
import org.endivehold.relay.engine.JobId;
import org.endivehold.relay.state.SharedStore;
import org.endivehold.relay.state.StorePosition;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Several daemons that exchange messages over loopback connections. */
class PeerMeshTest {
    private static final int LIMIT_SECONDS = 10;

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final List<Daemon> daemons = new ArrayList<>();

    /** A daemon that records the messages and connection events that it receives. */
    private final class Daemon implements PeerListener {
        private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
        private final List<PeerMessage> jobs = new ArrayList<>();
        private final PeerMesh mesh;
        private final SocketAddress address;

        Daemon(String name) throws Exception {
            int port = freePort();
            address = SocketAddress.inetSocketAddress(port, "127.0.0.1");
            DaemonEntry entry = new DaemonEntry(name, "127.0.0.1", port, "zone", 1);
            mesh = new PeerMesh(vertx, Ticker.system(), new DaemonDirectory(entry), this);
            mesh.start().toCompletionStage().toCompletableFuture().get(LIMIT_SECONDS, TimeUnit.SECONDS);
            daemons.add(this);
        }

        @Override
        public void onMessage(String daemon, PeerMessage message) {
            events.add(message.getClass().getSimpleName());
        }

        @Override
        public void onDisconnected(String daemon) {
            events.add("lost " + daemon);
        }

        @Override
        public void onUnreachable(String daemon) {
            events.add("unreachable " + daemon);
        }

        @Override
        public List<PeerMessage> initialMessages() {
            return jobs;
        }

        @Override
        public Optional<PeerMessage.Copy> copy(String prefix, StorePosition newerThan) {
            SharedStore.Item item = new SharedStore.Item(prefix + "x", Buffer.buffer("v"), new StorePosition(1, 9));
            return item.position().isAfter(newerThan)
                    ? Optional.of(new PeerMessage.Copy(prefix, item.position(), List.of(item)))
                    : Optional.empty();
        }

        /** Waits for an event and skips all events before it. */
        void await(String what) throws InterruptedException {
            String next = "";
            while (!next.equals(what)) {
                next = events.poll(LIMIT_SECONDS, TimeUnit.SECONDS);
                assertTrue(next != null, "did not receive " + what);
            }
        }

        void run(Runnable step) {
            vertx.runOnContext(ignored -> step.run());
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    @AfterEach
    void close() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(LIMIT_SECONDS, TimeUnit.SECONDS);
    }

    private static PeerMessage.JobPlaced job() {
        EngineJob job = new EngineJob(new JobId("a#1", 1), List.of("e"), List.of(1L), 1, 1, 300, 250);
        return new PeerMessage.JobPlaced(job, false);
    }

    /** Waits until a condition holds on the event loop. */
    private void until(String what, BooleanSupplier condition) throws Exception {
        CompletableFuture<Void> met = new CompletableFuture<>();
        vertx.runOnContext(ignored -> vertx.setPeriodic(5, timer -> {
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

    @Test
    void aConnectedDaemonReceivesRunningAndNewJobs() throws Exception {
        Daemon first = new Daemon("a#1");
        Daemon second = new Daemon("b#1");
        first.jobs.add(job());
        first.run(() -> first.mesh.addSeed(second.address));
        second.await("JobPlaced");
        first.run(() -> first.mesh.broadcast(new PeerMessage.JobEnded(new JobId("a#1", 1))));
        second.await("JobEnded");
        until("both daemons know each other", () -> daemons.stream()
                .allMatch(d -> d.mesh.directory().names().size() == 2));
    }

    @Test
    void aSmallFleetIsConnectedThroughOneSeed() throws Exception {
        Daemon seed = new Daemon("a#1");
        for (String name : List.of("b#1", "c#1", "d#1")) {
            Daemon daemon = new Daemon(name);
            daemon.run(() -> daemon.mesh.addSeed(seed.address));
        }
        until("all know all", () -> daemons.stream()
                .allMatch(d -> d.mesh.directory().names().size() == 4));
        seed.run(() -> seed.mesh.broadcast(job()));
        for (Daemon daemon : daemons.subList(1, 4)) {
            daemon.await("JobPlaced");
        }
    }

    @Test
    void aLargeFleetSendsToCoordinatorsOnly() throws Exception {
        for (int i = 0; i < 12; i++) {
            new Daemon("d" + i + "#1");
        }
        Daemon last = daemons.get(11);
        daemons.forEach(d -> d.run(() -> d.mesh.addDaemons(
                daemons.stream().map(other -> other.mesh.directory().self()).toList())));
        until("all know all", () -> daemons.stream()
                .allMatch(d -> d.mesh.directory().names().size() == 12));
        List<String> coordinators = last.mesh.directory().coordinators().stream()
                .map(DaemonEntry::name)
                .toList();
        assertEquals(DaemonDirectory.COORDINATORS, coordinators.size());
        until("all use the first coordinator", () -> daemons.stream()
                .allMatch(d -> d.mesh.decider().equals(coordinators.get(0))));
        last.run(() -> last.mesh.broadcast(job()));
        for (Daemon daemon : daemons) {
            String name = daemon.mesh.directory().self().name();
            if (coordinators.contains(name) && daemon != last) {
                daemon.await("JobPlaced");
            } else {
                assertTrue(daemon.events.isEmpty(), name);
            }
        }
    }

    @Test
    void aStoppingDaemonIsReportedLostAtOnce() throws Exception {
        Daemon first = new Daemon("a#1");
        Daemon second = new Daemon("b#1");
        first.jobs.add(job());
        first.run(() -> first.mesh.addSeed(second.address));
        second.await("JobPlaced");
        first.run(first.mesh::close);
        second.await("lost a#1");
        until(
                "removed from the directory",
                () -> List.copyOf(second.mesh.directory().names()).equals(List.of("b#1")));
    }

    @Test
    void aConnectedDaemonAnswersWithItsNewerCopy() throws Exception {
        Daemon first = new Daemon("a#1");
        Daemon second = new Daemon("b#1");
        first.jobs.add(job());
        first.run(() -> first.mesh.addSeed(second.address));
        second.await("JobPlaced");
        first.run(() -> first.mesh.requestCopy(new PeerMessage.CopyRequest("o/", new StorePosition(1, 3)), 0));
        first.await("Copy");
    }
}
