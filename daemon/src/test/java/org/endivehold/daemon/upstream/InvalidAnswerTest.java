package org.endivehold.daemon.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.endivehold.config.Upstream;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.error.RunOutcome;
import org.endivehold.misc.StreamId;
import org.endivehold.misc.UpstreamName;
import org.endivehold.misc.ZoneName;
import org.endivehold.standin.raw.RawStandin;
import org.endivehold.upstream.Engine;
import org.endivehold.upstream.PlainCall;
import org.endivehold.upstream.PlainService;
import org.endivehold.upstream.StreamEnd;
import org.endivehold.upstream.StreamListener;
import org.endivehold.upstream.StreamPiece;
import org.endivehold.upstream.StreamStarted;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against answers of a server in trouble that are no valid HTTP, or break off, and were taken for complete. */
class InvalidAnswerTest {
    private static final long LIMIT_SECONDS = 10;
    private static final int CALL_MILLIS = 5_000;
    /** More than the buffers of a loopback connection hold, in bytes. */
    private static final int LONG_BODY_BYTES = 4_000_000;

    private static final String LOAD = "{\"boot\":1,\"running\":0,\"waiting\":0,\"cold\":false}";
    private static final String EVENTS =
            """
            event: started
            data: {"id":"s1","boot":1,"cached_tokens":0}

            data: {"id":"s1","offset":0,"tokens":2,"choices":[{"index":0,"text":" a b"}]}

            """;

    private final Vertx vertx = Vertx.vertx();
    private final HttpClient client = UpstreamService.newClient(vertx, 4);

    @AfterEach
    void close() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(LIMIT_SECONDS, TimeUnit.SECONDS);
    }

    private static Upstream upstream(Upstream.Kind kind, RawStandin standin) {
        return new Upstream(
                new UpstreamName("u1"),
                kind,
                new ZoneName("z1"),
                "127.0.0.1",
                standin.port(),
                Upstream.State.SERVING,
                Set.of(),
                8,
                2,
                0,
                0,
                false);
    }

    private PlainService plainService(RawStandin standin) {
        return new HttpPlainService(vertx, client, client, upstream(Upstream.Kind.PLAIN, standin));
    }

    private Engine engine(RawStandin standin) {
        return new HttpEngine(vertx, client, client, upstream(Upstream.Kind.ENGINE, standin));
    }

    private static PlainCall call(int bodyBytes) {
        return new PlainCall("POST", "/x", Map.of(), new byte[bodyBytes], CALL_MILLIS);
    }

    private static void assertBroken(CompletionStage<?> call) {
        ExecutionException thrown = assertThrows(
                ExecutionException.class, () -> call.toCompletableFuture().get(LIMIT_SECONDS, TimeUnit.SECONDS));
        EndiveholdException failure = EndiveholdException.unwrap(thrown);
        assertEquals(ErrorType.UPSTREAM_BROKEN, failure.type());
        assertEquals(RunOutcome.UNKNOWN, failure.run());
    }

    /** Returns a future that fails as the stream does, and completes if it ends normally. */
    private static CompletionStage<Void> resume(Engine engine) {
        CompletableFuture<Void> ended = new CompletableFuture<>();
        engine.resume(new StreamId("s1"), 0, new StreamListener() {
            @Override
            public void started(StreamStarted started) {}

            @Override
            public void piece(StreamPiece piece) {
                ended.complete(null);
            }

            @Override
            public void finished(StreamEnd end) {
                ended.complete(null);
            }

            @Override
            public void failed(EndiveholdException failure) {
                ended.completeExceptionally(failure);
            }
        });
        return ended;
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 000 \r\n",
                "HTTP/1.1 102 Processing\r\n\r\n",
                "HTTP/1.1 600 Odd\r\n",
                "HTTP/1.1 200 OK\r\nx bad: 1\r\n",
                "HTTP/1.1 200 OK\r\nx-bad : 1\r\n",
                "HTTP/1.1 200 OK\r\nx-b\u0001ad: 1\r\n",
                "HTTP/1.1 200 OK\r\nContent Length: 1\r\n"
            })
    void anAnswerWithAnInvalidHeadIsABrokenAttempt(String start) throws Exception {
        try (RawStandin plain = new RawStandin(start + "\r\n" + LOAD, RawStandin.End.CLOSE);
                RawStandin stream = new RawStandin(start + "\r\n" + EVENTS, RawStandin.End.CLOSE)) {
            assertBroken(plainService(plain).call(call(4)));
            assertBroken(plainService(plain).loadReport());
            assertBroken(engine(plain).loadReport());
            assertBroken(engine(plain).cancel(new StreamId("s1")));
            assertBroken(resume(engine(stream)));
        }
    }

    @Test
    void anAnswerThatIsResetDuringTheUploadIsABrokenAttempt() throws Exception {
        String part = "HTTP/1.1 200 OK\r\n\r\npart of a body";
        try (RawStandin standin = new RawStandin(part, RawStandin.End.RESET_DURING_UPLOAD)) {
            assertBroken(plainService(standin).call(call(LONG_BODY_BYTES)));
        }
    }
}
