package org.endivehold.daemon.request;

import static org.endivehold.daemon.request.FakeConfiguration.BALANCE;
import static org.endivehold.daemon.request.FakeConfiguration.CONFIRM;
import static org.endivehold.daemon.request.FakeConfiguration.FIRST;
import static org.endivehold.daemon.request.FakeConfiguration.PAYROLL;
import static org.endivehold.daemon.request.FakeConfiguration.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.apache.commons.rng.simple.RandomSource;
import org.endivehold.config.AvailabilityZone;
import org.endivehold.config.Route;
import org.endivehold.config.Upstream;
import org.endivehold.daemon.DaemonContext;
import org.endivehold.daemon.kernel.Kernel;
import org.endivehold.daemon.ledger.ClaimOutcome;
import org.endivehold.daemon.ledger.FakeStore;
import org.endivehold.daemon.ledger.FakeStore.WriteOutcome;
import org.endivehold.daemon.ledger.LedgerService;
import org.endivehold.daemon.request.FakeUpstreams.Reply;
import org.endivehold.daemon.settings.Settings;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorManager;
import org.endivehold.error.ErrorType;
import org.endivehold.error.RunOutcome;
import org.endivehold.misc.HostId;
import org.endivehold.misc.Incarnation;
import org.endivehold.misc.RequestId;
import org.endivehold.misc.Ticker;
import org.endivehold.misc.ZoneName;
import org.endivehold.upstream.PlainAnswer;
import org.endivehold.upstream.PlainCall;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class PlainCallServiceTest {
    private static final long LONG_MILLIS = 30_000;
    private static final long SHORT_MILLIS = 300;
    private static final int MAX_ANSWER_BYTES = 1_000;

    private final Vertx vertx = Vertx.vertx();
    private final Ticker ticker = Ticker.system();
    private final FakeStore store = new FakeStore();
    private final FakeUpstreams upstreams = new FakeUpstreams();
    private final SlotCapacity capacity = new SlotCapacity();
    private final FakeConfiguration config = new FakeConfiguration();
    private final io.vertx.core.Context loop = vertx.getOrCreateContext();
    private PlainCallService service;
    private LedgerService ledger;
    private int requests;

    /** Result of a call: a status, or the type and run outcome of a failure. */
    private record CallResult(int status, ErrorType type, RunOutcome run) {
        static CallResult status(int status) {
            return new CallResult(status, null, null);
        }

        static CallResult failure(ErrorType type, RunOutcome run) {
            return new CallResult(0, type, run);
        }
    }

    @BeforeEach
    void start() throws Exception {
        capacity.freeSlots.putAll(Map.of(FIRST, 2, SECOND, 2));
        service = new PlainCallService(context(7));
        ledger = boot(7, service);
    }

    /** Starts the services of one daemon process; another incarnation stands for a restarted process. */
    private LedgerService boot(long incarnation, PlainCallService plain) throws Exception {
        LedgerService started = new LedgerService(context(incarnation));
        Kernel kernel = new Kernel().add(store).add(upstreams).add(capacity).add(config);
        onLoop(kernel.add(started).add(plain)::start);
        return started;
    }

    private DaemonContext context(long incarnation) {
        Settings settings = new Settings(
                new HostId("entry-1"),
                new ZoneName("a"),
                1,
                null,
                null,
                null,
                null,
                new Settings.Limits(0, 0, 0, 0, 0, 10),
                null,
                null,
                null,
                new Settings.Retry(3, 0.2),
                new Settings.LedgerSettings(72, MAX_ANSWER_BYTES),
                null);
        return new DaemonContext(
                vertx,
                settings,
                ticker,
                new ErrorManager(),
                RandomSource.XO_RO_SHI_RO_128_PP.create(1),
                new SimpleMeterRegistry(),
                new TraceLog(ticker),
                new Incarnation(incarnation));
    }

    @AfterEach
    void stop() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    private <T> T onLoop(Supplier<Future<T>> task) throws Exception {
        Promise<T> promise = Promise.promise();
        loop.runOnContext(ignored -> task.get().onComplete(promise));
        return promise.future().toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    private PlainRequest request(Route route, String key, String body, long millis) {
        requests++;
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        return new PlainRequest(
                new RequestId("r" + requests),
                PAYROLL,
                route,
                new PlainCall("POST", "/" + route.name(), Map.of(), bytes, millis),
                Optional.ofNullable(key),
                ticker.millis() + millis);
    }

    private Future<PlainAnswer> submit(Route route, String key, String body, long millis) {
        return service.submit(request(route, key, body, millis));
    }

    private CallResult call(Route route, String key, String body, long millis) throws Exception {
        try {
            return CallResult.status(
                    onLoop(() -> submit(route, key, body, millis)).status());
        } catch (ExecutionException e) {
            EndiveholdException failure = EndiveholdException.unwrap(e);
            return CallResult.failure(failure.type(), failure.run());
        }
    }

    private CallResult confirm(String body) throws Exception {
        return call(CONFIRM, "key-1", body, LONG_MILLIS);
    }

    static Stream<Arguments> confirmations() {
        CallResult ok = CallResult.status(201);
        CallResult unknown = CallResult.failure(ErrorType.LEDGER_OUTCOME_UNKNOWN, RunOutcome.UNKNOWN);
        CallResult broken = CallResult.failure(ErrorType.UPSTREAM_BROKEN, RunOutcome.UNKNOWN);
        CallResult exhausted = CallResult.failure(ErrorType.RETRIES_EXHAUSTED, RunOutcome.NO);
        CallResult unclaimed = CallResult.failure(ErrorType.LEDGER_UNAVAILABLE, RunOutcome.NO);
        CallResult notKept = CallResult.failure(ErrorType.LEDGER_ANSWER_NOT_KEPT, RunOutcome.PARTIAL);
        Reply no = Reply.UNREACHABLE;
        WriteOutcome out = WriteOutcome.UNAVAILABLE;
        WriteOutcome lost = WriteOutcome.NOT_APPLIED_UNANSWERED;
        WriteOutcome landed = WriteOutcome.APPLIED_UNANSWERED;
        return Stream.of(
                // upstream replies, outcomes of ledger writes, result of the first call, of the second call, executions
                Arguments.of(List.of(), List.of(), ok, ok, 1),
                Arguments.of(List.of(Reply.ERROR_STATUS), List.of(), CallResult.status(500), CallResult.status(500), 1),
                Arguments.of(List.of(Reply.LARGE), List.of(), ok, notKept, 1),
                Arguments.of(List.of(Reply.BROKEN), List.of(), broken, unknown, 1),
                Arguments.of(List.of(no, Reply.OK), List.of(), ok, ok, 1),
                Arguments.of(List.of(Reply.REFUSED, Reply.BROKEN), List.of(), broken, unknown, 1),
                Arguments.of(List.of(no, no, no), List.of(), exhausted, ok, 1),
                Arguments.of(List.of(), List.of(landed), ok, ok, 1),
                Arguments.of(List.of(), List.of(lost), ok, ok, 1),
                Arguments.of(List.of(), List.of(out), ok, ok, 1),
                Arguments.of(List.of(), List.of(WriteOutcome.LEASE_LOST), ok, ok, 1),
                Arguments.of(List.of(), List.of(WriteOutcome.DONE, landed), ok, ok, 1),
                Arguments.of(List.of(), List.of(WriteOutcome.DONE, lost), ok, ok, 1),
                Arguments.of(List.of(), List.of(WriteOutcome.DONE, out, out), ok, ok, 1),
                Arguments.of(List.of(), List.of(out, out, out, out, out), unclaimed, ok, 1),
                Arguments.of(List.of(Reply.BROKEN), List.of(WriteOutcome.DONE, landed), broken, unknown, 1));
    }

    @ParameterizedTest
    @MethodSource("confirmations")
    void runsAConfirmationAtMostOnce(
            List<Reply> replies, List<WriteOutcome> fates, CallResult first, CallResult second, int executions)
            throws Exception {
        upstreams.script.addAll(replies);
        store.scriptWrites(fates.toArray(WriteOutcome[]::new));
        assertEquals(first, confirm("shift 1"));
        onLoop(ledger::drain);
        assertEquals(second, confirm("shift 1"));
        assertEquals(executions, upstreams.executions);
    }

    @Test
    void refusesAKeyWithAnotherBody() throws Exception {
        assertEquals(CallResult.status(201), confirm("shift 1"));
        assertEquals(CallResult.failure(ErrorType.LEDGER_KEY_REUSED, RunOutcome.NO), confirm("shift 2"));
        assertEquals(1, upstreams.executions);
    }

    @Test
    void refusesACallWithoutAKey() throws Exception {
        CallResult end = call(CONFIRM, null, "shift 1", LONG_MILLIS);
        assertEquals(CallResult.failure(ErrorType.IDEMPOTENCY_KEY_REQUIRED, RunOutcome.NO), end);
    }

    @Test
    void tellsASecondCallThatTheFirstIsInProgress() throws Exception {
        upstreams.script.add(Reply.SILENT);
        onLoop(() -> {
            submit(CONFIRM, "key-1", "shift 1", LONG_MILLIS);
            return Future.succeededFuture();
        });
        assertEquals(CallResult.failure(ErrorType.LEDGER_IN_PROGRESS, RunOutcome.UNKNOWN), confirm("shift 1"));
        assertEquals(1, upstreams.executions);
    }

    @Test
    void endsASilentCallByItsDeadlineWithUnknownOutcome() throws Exception {
        upstreams.script.add(Reply.SILENT);
        CallResult first = call(CONFIRM, "key-1", "shift 1", SHORT_MILLIS);
        assertEquals(CallResult.failure(ErrorType.DEADLINE_EXCEEDED, RunOutcome.UNKNOWN), first);
        onLoop(ledger::drain);
        assertEquals(CallResult.failure(ErrorType.LEDGER_OUTCOME_UNKNOWN, RunOutcome.UNKNOWN), confirm("shift 1"));
        assertEquals(1, upstreams.executions);
    }

    @Test
    void refusesAsNotRunWhileTheStoreIsUnavailable() throws Exception {
        store.setUnavailable(true);
        assertEquals(CallResult.failure(ErrorType.LEDGER_UNAVAILABLE, RunOutcome.NO), confirm("shift 1"));
        assertEquals(0, upstreams.executions);
        assertEquals(0, capacity.taken());
        store.setUnavailable(false);
        assertEquals(CallResult.status(201), confirm("shift 1"));
    }

    @Test
    void anIdempotentCallNeedsNoStore() throws Exception {
        store.setUnavailable(true);
        assertEquals(CallResult.status(201), call(BALANCE, null, "", LONG_MILLIS));
    }

    @Test
    void looksUpTheKeyBeforeRefusingForCapacity() throws Exception {
        assertEquals(CallResult.status(201), confirm("shift 1"));
        capacity.freeSlots.clear();
        assertEquals(CallResult.status(201), call(CONFIRM, "key-1", "shift 1", SHORT_MILLIS));
        CallResult other = call(CONFIRM, "key-2", "shift 1", SHORT_MILLIS);
        assertEquals(CallResult.failure(ErrorType.NO_UPSTREAM, RunOutcome.NO), other);
        assertEquals(1, upstreams.executions);
    }

    @Test
    void treatsAClaimOfADeadProcessAsUnknown() throws Exception {
        ClaimOutcome claim = onLoop(() -> ledger.claim(request(CONFIRM, "key-1", "shift 1", LONG_MILLIS)));
        assertTrue(claim instanceof ClaimOutcome.Held);
        service = new PlainCallService(context(8));
        boot(8, service);
        assertEquals(CallResult.failure(ErrorType.LEDGER_OUTCOME_UNKNOWN, RunOutcome.UNKNOWN), confirm("shift 1"));
        assertEquals(0, upstreams.executions);
    }

    @Test
    void bindsEntriesToOneLeaseThatOutlivesThem() throws Exception {
        for (int i = 0; i < 5; i++) {
            assertEquals(CallResult.status(201), call(CONFIRM, "key-" + i, "shift 1", LONG_MILLIS));
        }
        assertEquals(List.of(Duration.ofHours(75)), store.leases());
        assertEquals(10, store.writes());
    }

    static Stream<Arguments> balances() {
        Reply no = Reply.UNREACHABLE;
        Reply broken = Reply.BROKEN;
        return Stream.of(
                Arguments.of(List.of(), CallResult.status(201), 1),
                Arguments.of(List.of(broken), CallResult.status(201), 2),
                Arguments.of(List.of(Reply.SILENT), CallResult.status(201), 2),
                Arguments.of(List.of(no, Reply.REFUSED), CallResult.status(201), 3),
                Arguments.of(List.of(no, no, no), CallResult.failure(ErrorType.RETRIES_EXHAUSTED, RunOutcome.NO), 3),
                Arguments.of(
                        List.of(broken, no, no),
                        CallResult.failure(ErrorType.RETRIES_EXHAUSTED, RunOutcome.UNKNOWN),
                        3));
    }

    @ParameterizedTest
    @MethodSource("balances")
    void repeatsAnIdempotentCallOnAnotherUpstream(List<Reply> replies, CallResult end, int calls) throws Exception {
        upstreams.script.addAll(replies);
        assertEquals(end, call(BALANCE, null, "", 2 * SHORT_MILLIS));
        assertEquals(calls, upstreams.calls.size());
        if (calls > 1) {
            assertEquals(Set.of(FIRST, SECOND), Set.copyOf(upstreams.calls.subList(0, 2)));
        }
    }

    @Test
    void avoidsZonesThatAreOutAndUpstreamsThatLeave() throws Exception {
        config.firstZone = AvailabilityZone.State.OUT;
        for (int i = 0; i < 4; i++) {
            assertEquals(CallResult.status(201), call(BALANCE, null, "", LONG_MILLIS));
        }
        assertEquals(Set.of(SECOND), Set.copyOf(upstreams.calls));
        config.secondState = Upstream.State.LEAVING;
        assertEquals(CallResult.failure(ErrorType.NO_UPSTREAM, RunOutcome.NO), call(BALANCE, null, "", LONG_MILLIS));
    }

    @Test
    void servesAWaitingCallOnceCapacityIsFree() throws Exception {
        capacity.freeSlots.clear();
        PlainAnswer answer = onLoop(() -> {
            Future<PlainAnswer> waiting = submit(BALANCE, null, "", LONG_MILLIS);
            capacity.freeSlots.put(FIRST, 1);
            return waiting;
        });
        assertEquals(201, answer.status());
        assertEquals(0, capacity.taken());
    }

    @Test
    void boundsTheCallsOfACustomer() throws Exception {
        onLoop(() -> {
            for (int i = 0; i < 3; i++) {
                upstreams.script.add(Reply.SILENT);
                submit(BALANCE, null, "", LONG_MILLIS);
            }
            return Future.succeededFuture();
        });
        CallResult end = call(BALANCE, null, "", LONG_MILLIS);
        assertEquals(CallResult.failure(ErrorType.CUSTOMER_LIMIT, RunOutcome.NO), end);
    }
}
