package org.endivehold.daemon.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.PoolOptions;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.endivehold.config.Upstream;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.error.RunOutcome;
import org.endivehold.misc.UpstreamName;
import org.endivehold.misc.ZoneName;
import org.endivehold.standin.log.StandinEvent;
import org.endivehold.standin.log.StandinLog;
import org.endivehold.standin.plain.PlainFaults;
import org.endivehold.standin.plain.PlainParameters;
import org.endivehold.standin.plain.PlainStandin;
import org.endivehold.upstream.PlainAnswer;
import org.endivehold.upstream.PlainCall;
import org.endivehold.upstream.PlainService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The contract of {@link PlainService}, checked on {@link HttpPlainService} against the stand-in of a service. */
class HttpPlainServiceContractTest {
    private static final long WAIT_SECONDS = 20;
    private static final long CALL_MILLIS = 10_000;
    private static final long SHORT_MILLIS = 3_000;

    private final StandinLog log = new StandinLog();
    private Vertx vertx;
    private PlainStandin standin;

    @BeforeEach
    void start() throws Exception {
        vertx = Vertx.vertx();
        standin = new PlainStandin(
                0, new PlainParameters(new UpstreamName("p1"), new ZoneName("z1"), 8, 2, 100_000), log);
        await(vertx.deployVerticle(standin).toCompletionStage());
    }

    @AfterEach
    void stop() throws Exception {
        await(vertx.close().toCompletionStage());
    }

    private PlainService adapter(int port) {
        HttpClient client = vertx.createHttpClient(new PoolOptions().setHttp1MaxSize(4));
        Upstream upstream = new Upstream(
                new UpstreamName("p1"),
                Upstream.Kind.PLAIN,
                new ZoneName("z1"),
                "127.0.0.1",
                port,
                Upstream.State.SERVING,
                Set.of(),
                8,
                2,
                0,
                0,
                false);
        return new HttpPlainService(vertx, client, client, upstream);
    }

    private static PlainCall call(long timeoutMillis) {
        Map<String, String> headers = Map.of("Idempotency-Key", "k1", "Connection", "close");
        return new PlainCall("POST", "/shifts?x=1", headers, "body".getBytes(StandardCharsets.UTF_8), timeoutMillis);
    }

    private static <T> T await(CompletionStage<T> stage) throws Exception {
        return stage.toCompletableFuture().get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    @Test
    void forwardsTheCallAndTheAnswer() throws Exception {
        PlainAnswer answer = await(adapter(standin.port()).call(call(CALL_MILLIS)));
        assertEquals(200, answer.status());
        assertEquals(
                "{\"service\":\"p1\",\"run\":1,\"key\":\"k1\"}", new String(answer.body(), StandardCharsets.UTF_8));
        assertEquals("k1", log.events(StandinEvent.Ran.class).get(0).key());
        assertTrue(answer.headers().containsKey("content-type"));
    }

    @Test
    void returnsARefusalAsAnAnswer() throws Exception {
        standin.faults(new PlainFaults(true, false, 1, 0));
        assertEquals(503, await(adapter(standin.port()).call(call(CALL_MILLIS))).status());
        assertEquals(0, log.events(StandinEvent.Ran.class).size());
    }

    @Test
    void readsTheLoadAfterARestart() throws Exception {
        standin.restart();
        PlainService service = adapter(standin.port());
        while (!await(service.loadReport()).cold()) {
            Thread.onSpinWait();
        }
        assertEquals(2, await(service.loadReport()).boot().value());
    }

    /** Faults, with the failure and the run outcome that the adapter must report, and the timeout of the call. */
    private enum Fault {
        NO_LISTENER(ErrorType.UPSTREAM_UNREACHABLE, RunOutcome.NO, CALL_MILLIS),
        ANSWER_LOST(ErrorType.UPSTREAM_BROKEN, RunOutcome.UNKNOWN, CALL_MILLIS),
        FROZEN(ErrorType.UPSTREAM_TIMEOUT, RunOutcome.UNKNOWN, SHORT_MILLIS);

        final ErrorType type;
        final RunOutcome run;
        final long timeoutMillis;

        Fault(ErrorType type, RunOutcome run, long timeoutMillis) {
            this.type = type;
            this.run = run;
            this.timeoutMillis = timeoutMillis;
        }
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    void reportsTheRunOutcome(Fault fault) throws Exception {
        // A first call warms up the code, so that the short timeout is caused by the fault only.
        await(adapter(standin.port()).call(call(CALL_MILLIS)));
        standin.faults(new PlainFaults(false, fault == Fault.FROZEN, 1, fault == Fault.ANSWER_LOST ? 1 : 0));
        PlainService target = adapter(fault == Fault.NO_LISTENER ? 1 : standin.port());
        EndiveholdException failure = EndiveholdException.unwrap(
                assertThrows(ExecutionException.class, () -> await(target.call(call(fault.timeoutMillis)))));
        assertEquals(fault.type, failure.type());
        assertEquals(fault.run, failure.run());
    }
}
