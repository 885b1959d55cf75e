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
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.endivehold.misc.Ticker;
import org.endivehold.relay.engine.EngineJob;
import org.endivehold.relay.engine.JobId;
import org.endivehold.relay.state.SharedStore;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Daemons on loopback that tell each other of their work. */
class PeerMeshTest {
    private static final int LIMIT_SECONDS = 10;

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final List<Daemon> daemons = new ArrayList<>();

    /** A daemon that writes down what it hears. */
    private final class Daemon implements PeerListener {
        private final BlockingQueue<String> heard = new LinkedBlockingQueue<>();
        private final List<PeerMessage> work = new ArrayList<>();
        private final PeerMesh mesh;
        private final SocketAddress address;

        Daemon(String name) throws Exception {
            int port = freePort();
            address = SocketAddress.inetSocketAddress(port, "127.0.0.1");
            mesh = new PeerMesh(vertx, Ticker.system(), new PeerMessage.Hello(name, "127.0.0.1", port), this);
            mesh.start().toCompletionStage().toCompletableFuture().get(LIMIT_SECONDS, TimeUnit.SECONDS);
            daemons.add(this);
        }

        @Override
        public void told(String daemon, PeerMessage message) {
            heard.add(message.getClass().getSimpleName());
        }

        @Override
        public void lost(String daemon) {
            heard.add("lost " + daemon);
        }

        @Override
        public List<PeerMessage> introduction() {
            return work;
        }

        @Override
        public Optional<PeerMessage.Copy> copy(String prefix, long newerThan) {
            SharedStore.Item item = new SharedStore.Item(prefix + "x", Buffer.buffer("v"), 9);
            return newerThan < 9 ? Optional.of(new PeerMessage.Copy(prefix, 9, List.of(item))) : Optional.empty();
        }

        /** Waits until something was heard, whatever else comes before it. */
        void await(String what) throws InterruptedException {
            String next = "";
            while (!next.equals(what)) {
                next = heard.poll(LIMIT_SECONDS, TimeUnit.SECONDS);
                assertTrue(next != null, "never heard " + what);
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

    @Test
    void whoIsConnectedHearsOfRunningAndNewWork() throws Exception {
        Daemon first = new Daemon("a#1");
        Daemon second = new Daemon("b#1");
        first.work.add(job());
        first.run(() -> first.mesh.connect(second.address));
        second.await("Hello");
        second.await("JobPlaced");
        first.run(() -> first.mesh.tell(new PeerMessage.JobEnded(new JobId("a#1", 1))));
        second.await("JobEnded");
        first.await("Hello");
        assertEquals(2, second.mesh.daemons().size());
    }

    @Test
    void aDaemonThatStopsIsLostAtOnce() throws Exception {
        Daemon first = new Daemon("a#1");
        Daemon second = new Daemon("b#1");
        first.run(() -> first.mesh.connect(second.address));
        second.await("Hello");
        first.run(first.mesh::close);
        second.await("lost a#1");
        assertEquals(List.of("b#1"), List.copyOf(second.mesh.daemons()));
    }

    @Test
    void aNeighbourAnswersWithItsNewerCopy() throws Exception {
        Daemon first = new Daemon("a#1");
        Daemon second = new Daemon("b#1");
        first.run(() -> first.mesh.connect(second.address));
        second.await("Hello");
        first.await("Hello");
        first.run(() -> first.mesh.ask(new PeerMessage.CopyWanted("o/", 3), 0));
        first.await("Copy");
    }
}
