package org.endivehold.daemon.platform;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.endivehold.daemon.DaemonContext;
import org.endivehold.daemon.TestContexts;
import org.endivehold.daemon.settings.Settings;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.platform.LeaseId;
import org.endivehold.platform.PlatformStore;
import org.endivehold.platform.StoreEntry;
import org.endivehold.platform.SwapResult;
import org.endivehold.platform.WatchListener;
import org.endivehold.standin.raw.RawStandin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks {@link EtcdStore} against a server whose answers and faults each test sets. */
class EtcdStoreTest {
    private static final String REFUSED_ENDPOINT = "http://127.0.0.1:1";
    private static final long LONG_TIMEOUT_MILLIS = 20_000;
    private static final long SHORT_TIMEOUT_MILLIS = 300;

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final List<JsonObject> bodies = new ArrayList<>();
    private volatile Consumer<HttpServerRequest> requestHandler = request -> {};
    private long timeoutMillis = LONG_TIMEOUT_MILLIS;
    private String endpoint;

    @BeforeEach
    void serve() throws Exception {
        HttpServer server = vertx.createHttpServer()
                .requestHandler(request -> request.body().onSuccess(body -> {
                    if (body.length() > 0) {
                        bodies.add(new JsonObject(body));
                    }
                    requestHandler.accept(request);
                }));
        endpoint = "http://127.0.0.1:" + await(server.listen(0, "127.0.0.1")).actualPort();
    }

    @AfterEach
    void close() throws Exception {
        await(vertx.close());
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(30, TimeUnit.SECONDS);
    }

    private DaemonContext context(String... endpoints) {
        Settings.Store store = new Settings.Store(List.of(endpoints), timeoutMillis, "site/");
        return TestContexts.withStoreSettings(TestContexts.create(vertx, "h"), store);
    }

    private <T> T call(Function<PlatformStore, CompletionStage<T>> call, String... endpoints) throws Exception {
        CompletableFuture<T> done = new CompletableFuture<>();
        vertx.runOnContext(ignored -> call.apply(new EtcdStore(context(endpoints)))
                .whenComplete((value, failure) -> complete(done, value, failure)));
        return done.get(30, TimeUnit.SECONDS);
    }

    private static <T> void complete(CompletableFuture<T> done, T value, Throwable failure) {
        if (failure == null) {
            done.complete(value);
        } else {
            done.completeExceptionally(failure);
        }
    }

    private ErrorType failure(Function<PlatformStore, CompletionStage<?>> call, String... endpoints) throws Exception {
        return failure(() -> call(store -> call.apply(store).thenApply(value -> value), endpoints));
    }

    private interface Call<T> {
        T run() throws Exception;
    }

    private static ErrorType failure(Call<?> call) throws Exception {
        try {
            call.run();
        } catch (ExecutionException e) {
            return EndiveholdException.unwrap(e).type();
        }
        throw new AssertionError("no failure");
    }

    private static CompletionStage<SwapResult> compareAndSwap(PlatformStore store) {
        return store.compareAndSwap("k", 4, new byte[] {1, 2}, Optional.of(new LeaseId(9)));
    }

    private void answer(int status, String body) {
        requestHandler = request -> request.response().setStatusCode(status).end(body);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '\'',
            textBlock =
                    """
                    400 | {"code":3,"message":"etcdserver: request is too large"} | STORE_REFUSED | STORE_REFUSED
                    429 | {"code":8,"message":"too many requests"} | STORE_REFUSED | STORE_REFUSED
                    500 | {"code":8} | STORE_REFUSED | STORE_REFUSED
                    503 | {"code":14,"message":"leader lost"} | STORE_UNKNOWN | STORE_UNAVAILABLE
                    500 | oops | STORE_UNKNOWN | STORE_UNAVAILABLE
                    200 | oops | STORE_UNKNOWN | STORE_UNAVAILABLE
                    """)
    void errorAnswersHaveATypedOutcome(int status, String body, ErrorType write, ErrorType read) throws Exception {
        answer(status, body);
        assertEquals(write, failure(EtcdStoreTest::compareAndSwap, endpoint));
        assertEquals(read, failure(store -> store.get("k"), endpoint));
    }

    /** An invalid head would be taken for a refusal, or for an answer of which a part was mended. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 000 ", "HTTP/1.1 199 Odd", "HTTP/1.1 600 Odd", "HTTP/1.1 200 OK\r\nx bad: 1"})
    void anInvalidAnswerLeavesTheOutcomeOfAWriteUnknown(String start) throws Exception {
        String answer = start + "\r\n\r\n{\"succeeded\":true,\"kvs\":[]}";
        try (RawStandin broken = new RawStandin(answer, RawStandin.End.CLOSE)) {
            String address = "http://127.0.0.1:" + broken.port();
            assertEquals(ErrorType.STORE_UNKNOWN, failure(EtcdStoreTest::compareAndSwap, address));
            assertEquals(ErrorType.STORE_UNAVAILABLE, failure(store -> store.get("k"), address));
        }
    }

    @Test
    void timeoutAndBrokenConnectionLeaveTheOutcomeOfAWriteUnknown() throws Exception {
        timeoutMillis = SHORT_TIMEOUT_MILLIS;
        List<Consumer<HttpServerRequest>> faults =
                List.of(request -> {}, request -> request.connection().close(), request -> request.response()
                        .setChunked(true)
                        .write("{\"succ"));
        for (Consumer<HttpServerRequest> fault : faults) {
            requestHandler = fault;
            assertEquals(ErrorType.STORE_UNKNOWN, failure(EtcdStoreTest::compareAndSwap, endpoint));
            assertEquals(ErrorType.STORE_UNAVAILABLE, failure(store -> store.list("k"), endpoint));
        }
    }

    @Test
    void refusedConnectionWritesNothingAndTheNextEndpointIsTried() throws Exception {
        assertEquals(ErrorType.STORE_UNAVAILABLE, failure(EtcdStoreTest::compareAndSwap, REFUSED_ENDPOINT));
        answer(200, "{\"header\":{\"revision\":\"5\"},\"succeeded\":true}");
        assertTrue(
                call(EtcdStoreTest::compareAndSwap, REFUSED_ENDPOINT, endpoint).swapped());
        assertEquals(1, bodies.size());
    }

    @Test
    void swapComparesTheRevisionAndReportsTheCurrentEntry() throws Exception {
        answer(200, "{\"header\":{\"revision\":\"5\"},\"succeeded\":true}");
        SwapResult swapped = call(EtcdStoreTest::compareAndSwap, endpoint);
        assertEquals(5, swapped.current().orElseThrow().revision());
        JsonObject compare = bodies.get(0).getJsonArray("compare").getJsonObject(0);
        assertEquals("4", compare.getString("mod_revision"));
        assertEquals("c2l0ZS9r", compare.getString("key"), "site/k in base64");

        answer(
                200,
                """
                {"responses":[{"response_range":{"kvs":[{"key":"c2l0ZS9r","value":"Bw==","mod_revision":"8"}]}}]}
                """);
        SwapResult refused = call(EtcdStoreTest::compareAndSwap, endpoint);
        StoreEntry current = refused.current().orElseThrow();
        assertEquals(false, refused.swapped());
        assertEquals("k", current.key());
        assertEquals(8, current.revision());
        assertArrayEquals(new byte[] {7}, current.value());
    }

    @Test
    void tooLargeValueIsRefusedWithoutACall() throws Exception {
        byte[] large = new byte[PlatformStore.MAX_VALUE_BYTES + 1];
        assertEquals(
                ErrorType.STORE_REFUSED,
                failure(store -> store.compareAndSwap("k", 0, large, Optional.empty()), endpoint));
        assertEquals(0, bodies.size());
    }

    @Test
    void leasesAreGrantedRenewedAndLost() throws Exception {
        answer(200, "{\"ID\":\"77\",\"TTL\":\"2\"}");
        assertEquals(new LeaseId(77), call(store -> store.grantLease(Duration.ofMillis(1_500)), endpoint));
        assertEquals("2", bodies.get(0).getString("TTL"));
        answer(200, "{\"result\":{\"ID\":\"77\",\"TTL\":\"2\"}}\n");
        assertEquals(Duration.ofSeconds(2), call(store -> store.renewLease(new LeaseId(77)), endpoint));
        answer(200, "{\"result\":{\"ID\":\"77\"}}\n");
        assertEquals(ErrorType.LEASE_LOST, failure(store -> store.renewLease(new LeaseId(77)), endpoint));
    }

    @Test
    void watchReportsChangesInOrderAndResyncsAfterEachBreak() throws Exception {
        BlockingQueue<String> seen = new LinkedBlockingQueue<>();
        requestHandler = request -> {
            request.response().setChunked(true).write("{\"result\":{\"created\":true}}\n{\"result\":{\"ev");
            request.response()
                    .write(
                            """
                    ents":[{"kv":{"key":"c2l0ZS9r","value":"Bw==","mod_revision":"8"}},
                     {"type":"DELETE","kv":{"key":"c2l0ZS9r"}}]}}
                    """);
            vertx.setTimer(1, id -> request.connection().close());
        };
        vertx.runOnContext(ignored -> new EtcdStore(context(endpoint)).watch("k", new WatchListener() {
            @Override
            public void changed(StoreEntry entry) {
                seen.add("changed " + entry.key() + " " + entry.revision());
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
        for (int connection = 0; connection < 2; connection++) {
            for (String event : List.of("resync", "changed k 8", "deleted k")) {
                assertEquals(event, seen.poll(30, TimeUnit.SECONDS));
            }
        }
    }
}
