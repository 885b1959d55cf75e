package org.endivehold.daemon.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.PoolOptions;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.endivehold.config.Upstream;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.error.RunOutcome;
import org.endivehold.misc.Epoch;
import org.endivehold.misc.HostId;
import org.endivehold.misc.Incarnation;
import org.endivehold.misc.StreamId;
import org.endivehold.misc.UpstreamName;
import org.endivehold.misc.VersionName;
import org.endivehold.misc.ZoneName;
import org.endivehold.standin.engine.EngineFaults;
import org.endivehold.standin.engine.EngineParameters;
import org.endivehold.standin.engine.EngineStandin;
import org.endivehold.standin.engine.GroundTruth;
import org.endivehold.standin.log.StandinEvent;
import org.endivehold.standin.log.StandinLog;
import org.endivehold.upstream.CacheHandle;
import org.endivehold.upstream.Engine;
import org.endivehold.upstream.EngineOrder;
import org.endivehold.upstream.GenerateRequest;
import org.endivehold.upstream.ResourceOwner;
import org.endivehold.upstream.StreamEnd;
import org.endivehold.upstream.StreamListener;
import org.endivehold.upstream.StreamPiece;
import org.endivehold.upstream.StreamStarted;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The contract of {@link Engine}, checked on {@link HttpEngine} against the stand-in of an engine. */
class HttpEngineContractTest {
    private static final long WAIT_SECONDS = 20;
    private static final VersionName VERSION = new VersionName("v1");
    private static final ResourceOwner OWNER = new ResourceOwner(new HostId("h1"), new Incarnation(1));
    private static final int SLOW_TOKENS = 5_000;

    private final StandinLog log = new StandinLog();
    private Vertx vertx;
    private EngineStandin standin;
    private Engine engine;

    @BeforeEach
    void start() throws Exception {
        vertx = Vertx.vertx();
        EngineParameters parameters = EngineParameters.builder("e1", "z1", "v1")
                .memory(50_000)
                .reportMillis(10)
                .speed(10)
                .build();
        standin = new EngineStandin(0, parameters, log);
        await(vertx.deployVerticle(standin).toCompletionStage());
        engine = adapter(standin.port());
    }

    private Engine adapter(int port) {
        return adapter(port, vertx.createHttpClient(new PoolOptions().setHttp1MaxSize(16)));
    }

    private Engine adapter(int port, HttpClient client) {
        return new HttpEngine(
                vertx,
                client,
                client,
                new Upstream(
                        new UpstreamName("e1"),
                        Upstream.Kind.ENGINE,
                        new ZoneName("z1"),
                        "127.0.0.1",
                        port,
                        Upstream.State.SERVING,
                        Set.of(VERSION),
                        64,
                        4,
                        50_000,
                        20_000,
                        true));
    }

    @AfterEach
    void stop() throws Exception {
        await(vertx.close().toCompletionStage());
    }

    private static <T> T await(CompletionStage<T> stage)
            throws InterruptedException, ExecutionException, TimeoutException {
        return stage.toCompletableFuture().get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    private static EndiveholdException failure(CompletionStage<?> stage) {
        return EndiveholdException.unwrap(assertThrows(ExecutionException.class, () -> await(stage)));
    }

    private static GenerateRequest request(String id, String prompt, int maxTokens) {
        return GenerateRequest.builder(new StreamId(id), OWNER, VERSION)
                .prompt(prompt)
                .maxTokens(maxTokens)
                .build();
    }

    /** Collects the text and the events of a stream. */
    private static class Collector implements StreamListener {
        final StringBuilder text = new StringBuilder();
        final List<EndiveholdException> failures = new ArrayList<>();
        final CompletableFuture<StreamStarted> started = new CompletableFuture<>();
        final CompletableFuture<Void> firstPiece = new CompletableFuture<>();
        final CompletableFuture<StreamEnd> end = new CompletableFuture<>();

        @Override
        public void started(StreamStarted value) {
            started.complete(value);
        }

        @Override
        public void piece(StreamPiece piece) {
            text.append(piece.text());
            firstPiece.complete(null);
        }

        @Override
        public void finished(StreamEnd value) {
            end.complete(value);
        }

        @Override
        public void failed(EndiveholdException failure) {
            failures.add(failure);
            end.completeExceptionally(failure);
        }
    }

    @Test
    void streamsTheWholeAnswer() throws Exception {
        Collector collector = new Collector();
        engine.start(request("s1", "prompt", 50), collector);
        assertEquals(new StreamEnd("length", 2, 50), await(collector.end));
        assertEquals(GroundTruth.of("prompt").text(0, 50), collector.text.toString());
        assertEquals(1, await(collector.started).boot().value());
    }

    @Test
    void continuesAfterTextDeliveredElsewhere() throws Exception {
        Collector collector = new Collector();
        String delivered = GroundTruth.of("prompt").text(0, 20);
        GenerateRequest request = GenerateRequest.builder(new StreamId("s2"), OWNER, VERSION)
                .prompt("prompt")
                .delivered(delivered, 20)
                .maxTokens(50)
                .build();
        engine.start(request, collector);
        await(collector.end);
        assertEquals(GroundTruth.of("prompt").text(20, 50), collector.text.toString());
    }

    @Test
    void resumesABrokenStream() throws Exception {
        Collector first = new Collector();
        engine.start(request("s3", "prompt", 400), first);
        await(first.firstPiece);
        standin.breakConnections();
        EndiveholdException failure = failure(first.end);
        assertEquals(ErrorType.UPSTREAM_BROKEN, failure.type());
        assertEquals(RunOutcome.PARTIAL, failure.run());
        long offset = first.text.chars().filter(c -> c == ' ').count();
        Collector rest = new Collector();
        engine.resume(new StreamId("s3"), offset, rest);
        await(rest.end);
        assertEquals(GroundTruth.of("prompt").text(0, 400), first.text.toString() + rest.text);
    }

    /** Faults before the first piece, with the failure and the run outcome that the adapter must report. */
    private enum Fault {
        REFUSED(ErrorType.UPSTREAM_REFUSED, RunOutcome.NO),
        TOO_LARGE(ErrorType.UPSTREAM_REFUSED, RunOutcome.NO),
        NO_LISTENER(ErrorType.UPSTREAM_UNREACHABLE, RunOutcome.NO),
        ANSWER_LOST(ErrorType.UPSTREAM_BROKEN, RunOutcome.UNKNOWN),
        BROKEN_IN_PREFILL(ErrorType.UPSTREAM_BROKEN, RunOutcome.UNKNOWN),
        RESTARTED_IN_PREFILL(ErrorType.UPSTREAM_BROKEN, RunOutcome.UNKNOWN);

        final ErrorType type;
        final RunOutcome run;

        Fault(ErrorType type, RunOutcome run) {
            this.type = type;
            this.run = run;
        }
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    void reportsTheRunOutcome(Fault fault) throws Exception {
        Collector collector = new Collector();
        String prompt = fault == Fault.TOO_LARGE ? "x".repeat(300_000) : "x".repeat(100_000);
        Engine target = fault == Fault.NO_LISTENER ? adapter(1) : engine;
        standin.faults(new EngineFaults(fault == Fault.REFUSED, false, 1, fault == Fault.ANSWER_LOST));
        target.start(request("f1", prompt, 10), collector);
        if (fault == Fault.BROKEN_IN_PREFILL || fault == Fault.RESTARTED_IN_PREFILL) {
            await(collector.started);
            if (fault == Fault.BROKEN_IN_PREFILL) {
                standin.breakConnections();
            } else {
                standin.restart();
            }
        }
        EndiveholdException failure = failure(collector.end);
        assertEquals(fault.type, failure.type());
        assertEquals(fault.run, failure.run());
        assertEquals(1, collector.failures.size());
    }

    @Test
    void secondCancelHasNoEffect() throws Exception {
        Collector collector = new Collector();
        Engine.StreamHandle handle = engine.start(request("c1", "prompt", SLOW_TOKENS), collector);
        await(collector.firstPiece);
        handle.cancel();
        handle.cancel();
        await(engine.cancel(new StreamId("c1")));
        assertEquals(0, await(standin.usedTokens().toCompletionStage()));
        assertEquals(1, log.events(StandinEvent.Ended.class).size());
        assertTrue(collector.failures.isEmpty());
    }

    @Test
    void deliversNothingWhilePaused() throws Exception {
        Collector collector = new Collector();
        Engine.StreamHandle[] handle = new Engine.StreamHandle[1];
        CompletableFuture<String> seen = new CompletableFuture<>();
        vertx.runOnContext(ignored -> {
            handle[0] = engine.start(request("p1", "prompt", 100), new StreamListener() {
                @Override
                public void piece(StreamPiece piece) {
                    collector.piece(piece);
                    if (!seen.isDone()) {
                        handle[0].pause(true);
                        seen.complete(collector.text.toString());
                    }
                }

                @Override
                public void finished(StreamEnd end) {
                    collector.finished(end);
                }

                @Override
                public void failed(EndiveholdException failure) {
                    collector.failed(failure);
                }
            });
        });
        String before = await(seen);
        Collector other = new Collector();
        engine.start(request("p2", "prompt", 200), other);
        await(other.end);
        assertEquals(before, collector.text.toString());
        vertx.runOnContext(ignored -> handle[0].pause(false));
        await(collector.end);
        assertEquals(GroundTruth.of("prompt").text(0, 100), collector.text.toString());
    }

    @Test
    void refusesOldOrdersAndUnknownStreams() throws Exception {
        await(engine.order(new EngineOrder.LoadVersion(new Epoch(3), VERSION)));
        EndiveholdException fenced = failure(engine.order(new EngineOrder.LoadVersion(new Epoch(2), VERSION)));
        assertEquals(ErrorType.ORDER_FENCED, fenced.type());
        Collector collector = new Collector();
        engine.resume(new StreamId("nobody"), 0, collector);
        assertEquals(ErrorType.STREAM_UNKNOWN, failure(collector.end).type());
        await(engine.cancel(new StreamId("nobody")));
    }

    @Test
    void exportsAttachesAndReleasesCaches() throws Exception {
        String part = "p".repeat(8_000);
        CacheHandle handle = await(engine.prefillAndExport(request("x1", part, 1)));
        assertEquals(2_000, handle.tokens());
        assertEquals(2_000, await(standin.usedTokens().toCompletionStage()));
        GenerateRequest whole = GenerateRequest.builder(new StreamId("x2"), OWNER, VERSION)
                .prompt(part + "end")
                .attached(List.of(handle))
                .maxTokens(3)
                .build();
        Collector collector = new Collector();
        engine.start(whole, collector);
        await(collector.end);
        assertEquals(GroundTruth.of(part + "end").text(0, 3), collector.text.toString());
        await(engine.release(handle));
        await(engine.release(handle));
        assertEquals(0, await(standin.usedTokens().toCompletionStage()));
    }

    @Test
    void reportsLoadAndCacheEvents() throws Exception {
        Collector collector = new Collector();
        engine.start(request("l1", "p".repeat(4_096), 1), collector);
        await(collector.end);
        assertEquals(50_000, await(engine.loadReport()).memoryTokens());
        while (await(engine.cacheEvents(0)).size() < 4) {
            Thread.onSpinWait();
        }
        assertEquals(1, await(engine.cacheEvents(3)).size());
    }

    @Test
    void reportsNotRunOnceItsConnectionsAreClosed() throws Exception {
        HttpClient client = vertx.createHttpClient(new PoolOptions().setHttp1MaxSize(1));
        Engine closed = adapter(standin.port(), client);
        await(client.close().toCompletionStage());
        assertEquals(
                ErrorType.UPSTREAM_UNREACHABLE, failure(closed.loadReport()).type());
        Collector collector = new Collector();
        closed.start(request("z1", "prompt", 1), collector);
        EndiveholdException failure = failure(collector.end);
        assertEquals(ErrorType.UPSTREAM_UNREACHABLE, failure.type());
        assertEquals(RunOutcome.NO, failure.run());
    }
}
