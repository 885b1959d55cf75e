package org.endivehold.relay.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.SocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.relay.route.UpstreamEntry;
import org.endivehold.relay.state.Upstream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Memory is reserved at all engines or at none, renewed while it is held, and released again. */
class ReservationTest {
    private static final int TIMEOUT_SECONDS = 10;

    private final Vertx vertx = Vertx.vertx();
    private final BlockingQueue<String> calls = new LinkedBlockingQueue<>();
    private final Set<String> refusing = new HashSet<>();
    private int failingReleases;
    private final EngineMemoryClient engineMemory = new EngineMemoryClient() {
        @Override
        public Future<Void> reserve(Upstream engine, String id, long tokens, int holdMillis) {
            calls.add("reserve " + engine.id());
            return refusing.contains(engine.id())
                    ? Future.failedFuture(new EndiveholdException(ErrorType.RESERVATION_REFUSED, tokens))
                    : Future.succeededFuture();
        }

        @Override
        public Future<Void> release(Upstream engine, String id) {
            calls.add("release " + engine.id());
            failingReleases--;
            return failingReleases >= 0
                    ? Future.failedFuture(new EndiveholdException(ErrorType.UPSTREAM_TIMEOUT, engine.id(), 1))
                    : Future.succeededFuture();
        }
    };

    @AfterEach
    void close() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private static Upstream engine(String id) {
        SocketAddress address = SocketAddress.inetSocketAddress(1, "10.0.0.1");
        return new Upstream(new UpstreamEntry(id, "s", address, "z", 1, false, 0, 0), 0);
    }

    private Reservation reservation(String... engines) {
        List<Reservation.Part> parts = new ArrayList<>();
        for (String id : engines) {
            parts.add(new Reservation.Part(engine(id), 100));
        }
        return new Reservation(vertx, engineMemory, "r", parts);
    }

    private List<String> nextCalls(int count) throws InterruptedException {
        List<String> taken = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            taken.add(calls.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        }
        return taken;
    }

    @Test
    void allPartsAreReservedRenewedAndReleased() throws Exception {
        Reservation reservation = reservation("a", "b");
        reservation.acquire().toCompletionStage().toCompletableFuture().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertEquals(List.of("reserve a", "reserve b", "reserve a", "reserve b"), nextCalls(4));
        reservation.release();
        List<String> seen = nextCalls(2);
        assertTrue(seen.containsAll(List.of("release a", "release b")), seen::toString);
        reservation.release();
        assertTrue(calls.isEmpty());
    }

    @Test
    void aRefusalGivesTheOthersBack() throws Exception {
        refusing.add("b");
        Reservation reservation = reservation("a", "b");
        assertThrows(ExecutionException.class, () -> reservation
                .acquire()
                .toCompletionStage()
                .toCompletableFuture()
                .get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        List<String> seen = nextCalls(4);
        assertTrue(seen.containsAll(List.of("release a", "release b")), seen::toString);
    }

    @Test
    void aReleaseWithoutAnAnswerIsTriedAgain() throws Exception {
        failingReleases = 1;
        Reservation reservation = reservation("a");
        reservation.acquire().toCompletionStage().toCompletableFuture().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        reservation.release();
        assertEquals(List.of("reserve a", "release a", "release a"), nextCalls(3));
    }
}
