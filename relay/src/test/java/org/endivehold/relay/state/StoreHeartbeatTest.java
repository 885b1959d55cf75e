package org.endivehold.relay.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.commons.rng.simple.RandomSource;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.misc.Ticker;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** When the store is pinged, and what its answers and their absence cause. */
class StoreHeartbeatTest {
    private static final int LIMIT_SECONDS = 10;

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final AtomicLong now = new AtomicLong(1_000);
    private final FakeStore store = new FakeStore();
    private final PingedStore client = new PingedStore();
    private final AtomicInteger answers = new AtomicInteger();
    private WatchedPrefix copy;

    /** A store whose pings wait until the test answers them; all other calls go to a store in memory. */
    private final class PingedStore implements SharedStore {
        private int pings;
        private Promise<Void> answer = Promise.promise();

        @Override
        public Future<Void> ping() {
            pings++;
            answer = Promise.promise();
            return answer.future();
        }

        @Override
        public Future<Range> range(String prefix) {
            return store.range(prefix);
        }

        @Override
        public Future<Changes> watch(String prefix, StorePosition after, int waitMillis) {
            return store.watch(prefix, after, waitMillis);
        }

        @Override
        public Future<StoreLease> grantLease(int ttlMillis) {
            return store.grantLease(ttlMillis);
        }

        @Override
        public Future<Void> renewLease(StoreLease lease) {
            return store.renewLease(lease);
        }

        @Override
        public Future<Void> revokeLease(StoreLease lease) {
            return store.revokeLease(lease);
        }

        @Override
        public Future<Void> put(String key, Buffer value, StoreLease lease) {
            return store.put(key, value, lease);
        }
    }

    private static final class NoListener implements ItemListener {
        @Override
        public void written(SharedStore.Item item) {}

        @Override
        public void removed(String key) {}
    }

    @BeforeEach
    void start() throws Exception {
        Ticker ticker = now::get;
        copy = new WatchedPrefix(vertx, client, "s/", ticker, RandomSource.SPLIT_MIX_64.create(1), new NoListener());
        StoreHeartbeat heartbeat = new StoreHeartbeat(vertx, ticker, client, List.of(copy));
        heartbeat.onAnswer(answers::incrementAndGet);
        run(() -> {
            store.write("s/a", "1");
            copy.start();
            heartbeat.start();
        });
    }

    @AfterEach
    void close() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(LIMIT_SECONDS, TimeUnit.SECONDS);
    }

    private void run(Runnable step) throws Exception {
        CompletableFuture<Void> done = new CompletableFuture<>();
        vertx.runOnContext(ignored -> {
            try {
                step.run();
                done.complete(null);
            } catch (Throwable e) {
                done.completeExceptionally(e);
            }
        });
        done.get(LIMIT_SECONDS, TimeUnit.SECONDS);
    }

    /** Waits until so many pings have been sent. */
    private void awaitPings(int count) throws Exception {
        CompletableFuture<Void> sent = new CompletableFuture<>();
        vertx.runOnContext(ignored -> vertx.setPeriodic(5, timer -> {
            if (client.pings >= count) {
                sent.complete(null);
            }
        }));
        sent.get(LIMIT_SECONDS, TimeUnit.SECONDS);
    }

    @Test
    void aPromptAnswerIsPassedOn() throws Exception {
        awaitPings(1);
        run(() -> client.answer.complete());
        assertEquals(1, answers.get());
    }

    /** Guards against a process that was paused and takes an answer from before the pause for a current one. */
    @Test
    void anAnswerFromBeforeAPauseIsNotPassedOn() throws Exception {
        awaitPings(1);
        run(() -> {
            now.addAndGet(StoreHeartbeat.INTERVAL_MILLIS + 1);
            client.answer.complete();
        });
        assertEquals(0, answers.get());
    }

    /** Guards against a watch whose connection is silent, like that of the ping, until its wait is over. */
    @Test
    void withoutAnAnswerTheWatchIsMadeAgainWithoutAWait() throws Exception {
        awaitPings(1);
        AtomicInteger calls = new AtomicInteger();
        run(() -> {
            calls.set(store.calls());
            client.answer.fail(new EndiveholdException(ErrorType.STORE_UNAVAILABLE, "silent"));
            now.incrementAndGet();
            assertTrue(copy.outageMillis() > 0);
        });
        awaitPings(2);
        run(() -> assertEquals(calls.get() + 2, store.calls(), "a watch without a wait, and the next one"));
        assertEquals(0, answers.get());
    }

    /** A copy that another daemon confirms costs no calls. */
    @Test
    void thereAreNoPingsWhileAnotherDaemonConfirmsTheCopy() throws Exception {
        run(() -> copy.confirmByPeer(copy.position(), copy.position(), 0));
        vertx.timer(2L * StoreHeartbeat.INTERVAL_MILLIS, TimeUnit.MILLISECONDS)
                .toCompletionStage()
                .toCompletableFuture()
                .get(LIMIT_SECONDS, TimeUnit.SECONDS);
        assertEquals(0, client.pings);
    }
}
