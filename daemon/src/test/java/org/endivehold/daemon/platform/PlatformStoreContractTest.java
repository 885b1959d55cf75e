package org.endivehold.daemon.platform;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.endivehold.daemon.TestContexts;
import org.endivehold.daemon.settings.Settings;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.platform.LeaseId;
import org.endivehold.platform.PlatformStore;
import org.endivehold.platform.StoreEntry;
import org.endivehold.platform.SwapResult;
import org.endivehold.platform.WatchListener;
import org.endivehold.standin.log.StandinLog;
import org.endivehold.standin.store.StoreFaults;
import org.endivehold.standin.store.StoreFaults.LostWrite;
import org.endivehold.standin.store.StoreStandin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The contract of {@link PlatformStore}, checked on {@link EtcdStore} against the stand-in of the service. */
class PlatformStoreContractTest {
    private static final long WAIT_SECONDS = 30;
    private static final long TIMEOUT_MILLIS = 5_000;

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(2));
    private final StoreStandin standin = new StoreStandin(0, new StandinLog());
    private EtcdStore store;

    @BeforeEach
    void start() throws Exception {
        vertx.deployVerticle(standin).toCompletionStage().toCompletableFuture().get(WAIT_SECONDS, TimeUnit.SECONDS);
        Settings.Store settings = new Settings.Store(List.of(standin.url()), TIMEOUT_MILLIS, "site/");
        store = new EtcdStore(TestContexts.withStoreSettings(TestContexts.create(vertx, "h"), settings));
    }

    @AfterEach
    void stop() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    private <T> T call(Function<PlatformStore, CompletionStage<T>> call) throws Exception {
        CompletableFuture<T> done = new CompletableFuture<>();
        vertx.runOnContext(ignored -> Future.fromCompletionStage(call.apply(store))
                .onSuccess(done::complete)
                .onFailure(done::completeExceptionally));
        return done.get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    private <T> ErrorType failure(Function<PlatformStore, CompletionStage<T>> call) throws Exception {
        try {
            call(call);
        } catch (ExecutionException e) {
            return EndiveholdException.unwrap(e).type();
        }
        throw new AssertionError("no failure");
    }

    private SwapResult swap(String key, long expected, String value) throws Exception {
        return call(s -> s.compareAndSwap(key, expected, bytes(value), Optional.empty()));
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static String text(StoreEntry entry) {
        return new String(entry.value(), StandardCharsets.UTF_8);
    }

    @Test
    void swapTakesPlaceOnlyOnTheExpectedRevision() throws Exception {
        assertEquals(Optional.empty(), call(s -> s.get("k")));
        assertFalse(swap("k", 7, "x").swapped(), "the key does not exist");
        SwapResult created = swap("k", 0, "a");
        assertTrue(created.swapped());
        long first = created.current().orElseThrow().revision();
        assertFalse(swap("k", 0, "b").swapped(), "the key exists");
        assertTrue(swap("k", first, "c").swapped());
        SwapResult stale = swap("k", first, "d");
        assertFalse(stale.swapped());
        assertEquals("c", text(stale.current().orElseThrow()));
        StoreEntry current = call(s -> s.get("k")).orElseThrow();
        assertEquals(stale.current().orElseThrow().revision(), current.revision());
        assertTrue(current.revision() > first);
    }

    @Test
    void listHoldsExactlyThePrefixInOrder() throws Exception {
        for (String key : List.of("a/2", "b", "a/1", "a0", "a")) {
            swap(key, 0, key);
        }
        List<String> keys =
                call(s -> s.list("a/")).stream().map(StoreEntry::key).toList();
        assertEquals(List.of("a/1", "a/2"), keys);
    }

    @Test
    void deleteNeedsTheExpectedRevision() throws Exception {
        assertEquals(false, call(s -> s.delete("k", 0)));
        long revision = swap("k", 0, "a").current().orElseThrow().revision();
        assertEquals(false, call(s -> s.delete("k", revision + 1)));
        assertEquals(true, call(s -> s.delete("k", revision)));
        assertEquals(Optional.empty(), call(s -> s.get("k")));
    }

    @Test
    void largestValueIsKeptAndALargerOneRefused() throws Exception {
        byte[] largest = new byte[PlatformStore.MAX_VALUE_BYTES];
        largest[0] = 9;
        assertTrue(
                call(s -> s.compareAndSwap("k", 0, largest, Optional.empty())).swapped());
        assertArrayEquals(largest, call(s -> s.get("k")).orElseThrow().value());
        byte[] larger = new byte[PlatformStore.MAX_VALUE_BYTES + 1];
        assertEquals(ErrorType.STORE_REFUSED, failure(s -> s.compareAndSwap("l", 0, larger, Optional.empty())));
    }

    @Test
    void keysVanishWithTheirLease() throws Exception {
        LeaseId lease = call(s -> s.grantLease(Duration.ofSeconds(60)));
        assertTrue(call(s -> s.compareAndSwap("k", 0, bytes("v"), Optional.of(lease)))
                .swapped());
        assertTrue(call(s -> s.renewLease(lease)).toSeconds() > 0);
        call(s -> s.revokeLease(lease));
        assertEquals(Optional.empty(), call(s -> s.get("k")));
        assertEquals(ErrorType.LEASE_LOST, failure(s -> s.renewLease(lease)));
    }

    @Test
    void watchReportsChangesAndResyncsAfterAnOutage() throws Exception {
        BlockingQueue<String> seen = new LinkedBlockingQueue<>();
        vertx.runOnContext(ignored -> store.watch("k", new WatchListener() {
            @Override
            public void changed(StoreEntry entry) {
                seen.add(entry.key() + "=" + text(entry));
            }

            @Override
            public void deleted(String key) {
                seen.add("deleted " + key);
            }

            @Override
            public void resync() {
                seen.add("resync");
            }
        }));
        expect(seen, "resync");
        long revision = swap("k1", 0, "a").current().orElseThrow().revision();
        swap("other", 0, "x");
        call(s -> s.delete("k1", revision));
        expect(seen, "k1=a");
        expect(seen, "deleted k1");
        standin.faults(StoreFaults.OUTAGE);
        assertEquals(ErrorType.STORE_UNAVAILABLE, failure(s -> s.get("k")));
        standin.faults(StoreFaults.NONE);
        expect(seen, "resync");
        swap("k2", 0, "b");
        expect(seen, "k2=b");
    }

    private static void expect(BlockingQueue<String> seen, String event) throws Exception {
        assertEquals(event, seen.poll(WAIT_SECONDS, TimeUnit.SECONDS));
    }

    @ParameterizedTest
    @CsvSource({"APPLIED, true", "LATE, true", "NEVER, false"})
    void lostAnswerIsReportedAsUnknownOutcome(LostWrite lost, boolean applied) throws Exception {
        standin.faults(StoreFaults.losing(lost, 1, 20));
        assertEquals(ErrorType.STORE_UNKNOWN, failure(s -> s.compareAndSwap("k", 0, bytes("v"), Optional.empty())));
        standin.faults(StoreFaults.NONE);
        if (applied) {
            long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
            while (call(s -> s.get("k")).isEmpty()) {
                assertTrue(System.nanoTime() < deadline, "the write has not been applied");
            }
        } else {
            assertTrue(swap("k", 0, "w").swapped());
        }
    }

    @Test
    void outageIsUnknownForWritesAndUnavailableForReads() throws Exception {
        standin.faults(StoreFaults.OUTAGE);
        assertEquals(ErrorType.STORE_UNAVAILABLE, failure(s -> s.list("k")));
        ErrorType write = failure(s -> s.compareAndSwap("k", 0, bytes("v"), Optional.empty()));
        assertEquals(ErrorType.STORE_UNKNOWN, write, "the connection broke after the write was sent");
    }
}
