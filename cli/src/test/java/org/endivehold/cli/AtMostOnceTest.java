package org.endivehold.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Promise;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.apache.commons.codec.digest.DigestUtils;
import org.endivehold.config.Route;
import org.endivehold.daemon.DaemonContext;
import org.endivehold.daemon.http.CallerHttpServer;
import org.endivehold.daemon.ledger.ClaimOutcome;
import org.endivehold.daemon.ledger.LedgerService;
import org.endivehold.daemon.request.PlainRequest;
import org.endivehold.misc.CustomerName;
import org.endivehold.misc.RequestId;
import org.endivehold.misc.RouteName;
import org.endivehold.misc.UpstreamName;
import org.endivehold.misc.ZoneName;
import org.endivehold.standin.log.StandinEvent;
import org.endivehold.standin.log.StandinLog;
import org.endivehold.standin.plain.PlainFaults;
import org.endivehold.standin.plain.PlainParameters;
import org.endivehold.standin.plain.PlainStandin;
import org.endivehold.standin.store.StoreFaults;
import org.endivehold.upstream.PlainCall;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Sends calls with idempotency keys through real daemons while the store, the service or a daemon fails, and checks
 * that the service never runs a call twice.
 */
class AtMostOnceTest {
    private static final String PATH = "/confirm/1";
    private static final String BODY = "shift 1";
    private static final String API_KEY = "payroll-key";
    private static final long LONG_MILLIS = 20_000;
    private static final long SHORT_MILLIS = 1_500;
    private static final int OK = 200;
    private static final int CONFLICT = 409;
    private static final int UNAVAILABLE = 503;

    @TempDir
    Path folder;

    private final HttpClient http = HttpClient.newHttpClient();
    private final PlainStandin records = new PlainStandin(
            0, new PlainParameters(new UpstreamName("records"), new ZoneName("a"), 64, 64, 0), new StandinLog());
    private Fleet fleet;

    @BeforeEach
    void start() throws Exception {
        fleet = new Fleet(folder);
        Fleet.await(fleet.vertx.deployVerticle(records));
        Path configuration = Files.createDirectory(folder.resolve("configuration"));
        Files.writeString(configuration.resolve("all.json"), objects(records.port()));
        Fleet.Result published = fleet.run("publish", configuration.toString(), "--wait");
        assertEquals(ExitCode.OK, published.code(), published::toString);
    }

    private static String objects(int port) {
        return """
            [
              {"kind": "AvailabilityZone", "name": "a", "region": "r", "state": "in"},
              {"kind": "Upstream", "type": "plain", "name": "records", "zone": "a", "address": "127.0.0.1",
               "port": %d, "slots": 64, "coldSlots": 64},
              {"kind": "Route", "name": "confirm", "type": "plain", "pathPrefix": "/confirm", "upstreams": ["records"],
               "idempotent": false, "requestClass": "interactive", "defaultDeadlineMillis": 10000,
               "maxDeadlineMillis": 60000},
              {"kind": "Customer", "name": "payroll", "keyHashes": ["%s"], "weight": 1, "maxConcurrent": 64,
               "maxQueued": 64}
            ]
            """
                .formatted(port, DigestUtils.sha256Hex(API_KEY));
    }

    @AfterEach
    void stop() throws Exception {
        fleet.close();
    }

    private CompletableFuture<HttpResponse<String>> send(int daemon, String key, long millis) throws Exception {
        int port = fleet.daemons
                .get(daemon)
                .kernel()
                .find(CallerHttpServer.NAME, CallerHttpServer.class)
                .port();
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + PATH))
                .header("Authorization", "Bearer " + API_KEY)
                .header("Idempotency-Key", key)
                .header("Endivehold-Deadline-Millis", Long.toString(millis))
                .POST(HttpRequest.BodyPublishers.ofString(BODY))
                .build();
        return http.sendAsync(request, HttpResponse.BodyHandlers.ofString());
    }

    private HttpResponse<String> confirm(int daemon, String key) throws Exception {
        return send(daemon, key, LONG_MILLIS).get(60, TimeUnit.SECONDS);
    }

    /** Waits until every daemon has a share of the service's capacity. */
    private void awaitReady() throws Exception {
        for (int i = 0; i < Fleet.DAEMONS; i++) {
            int daemon = i;
            Fleet.until(
                    "daemon " + i + " serves",
                    () -> confirm(daemon, "ready-" + daemon).statusCode() == OK);
        }
    }

    private long runs(String key) {
        return records.log().events(StandinEvent.Ran.class).stream()
                .filter(ran -> ran.key().equals(key))
                .count();
    }

    private boolean accepted(String key) {
        return records.log().events(StandinEvent.Accepted.class).stream()
                .anyMatch(call -> call.id().equals(key));
    }

    private static boolean hasMember(HttpResponse<String> answer, String member, String value) {
        return answer.body().contains("\"" + member + "\":\"" + value + "\"");
    }

    @Test
    void everyDaemonRepeatsTheFirstAnswer() throws Exception {
        awaitReady();
        HttpResponse<String> first = confirm(0, "k");
        assertEquals(OK, first.statusCode(), first::body);
        assertEquals(first.body(), confirm(1, "k").body());
        assertEquals(first.body(), confirm(2, "k").body());
        assertEquals(1, runs("k"));
    }

    @Test
    void aLostAnswerOfTheServiceStaysUnknown() throws Exception {
        awaitReady();
        records.faults(PlainFaults.losing(1));
        HttpResponse<String> first = confirm(0, "k");
        assertTrue(hasMember(first, "run", "unknown"), first::body);
        records.faults(PlainFaults.NONE);
        Fleet.until("the outcome is recorded", () -> hasMember(confirm(1, "k"), "title", "ledger-outcome-unknown"));
        assertEquals(1, runs("k"));
    }

    @Test
    void aDaemonKilledBetweenSendAndRecordLeavesTheOutcomeUnknown() throws Exception {
        awaitReady();
        records.faults(new PlainFaults(false, false, 500, 0));
        CompletableFuture<HttpResponse<String>> first = send(0, "k", SHORT_MILLIS);
        Fleet.until("the service has the call", () -> accepted("k"));
        Fleet.await(fleet.daemons.get(0).kill());
        HttpResponse<String> second = confirm(1, "k");
        assertEquals(CONFLICT, second.statusCode(), second::body);
        Fleet.until("its deadline passes", () -> hasMember(confirm(1, "k"), "title", "ledger-outcome-unknown"));
        Fleet.until("the service ends the call", () -> runs("k") == 1);
        assertThrows(ExecutionException.class, () -> first.get(60, TimeUnit.SECONDS));
    }

    @Test
    void aDaemonKilledBetweenClaimAndSendNeverLeadsToARun() throws Exception {
        awaitReady();
        DaemonContext context = fleet.daemons.get(0).context();
        LedgerService ledger = fleet.daemons.get(0).kernel().find(LedgerService.NAME, LedgerService.class);
        Route route = fleet.configuration(0)
                .current()
                .orElseThrow()
                .configuration()
                .routes()
                .get(new RouteName("confirm"));
        PlainRequest request = new PlainRequest(
                new RequestId("r1"),
                new CustomerName("payroll"),
                route,
                new PlainCall("POST", PATH, Map.of(), BODY.getBytes(StandardCharsets.UTF_8), SHORT_MILLIS),
                Optional.of("k"),
                context.ticker().millis() + SHORT_MILLIS);
        Promise<ClaimOutcome> claim = Promise.promise();
        context.vertx().runOnContext(ignored -> ledger.claim(request).onComplete(claim));
        assertTrue(Fleet.await(claim.future()) instanceof ClaimOutcome.Held);
        Fleet.await(fleet.daemons.get(0).kill());
        assertEquals(CONFLICT, confirm(1, "k").statusCode());
        Fleet.until("its deadline passes", () -> hasMember(confirm(1, "k"), "title", "ledger-outcome-unknown"));
        assertTrue(hasMember(confirm(2, "k"), "run", "unknown"));
        assertEquals(0, runs("k"));
    }

    @Test
    void aDaemonKilledWhileItClaimsNeverLeadsToASecondRun() throws Exception {
        awaitReady();
        long writes = fleet.store.calls().writes();
        fleet.store.faults(StoreFaults.slow(600));
        send(0, "k", SHORT_MILLIS).exceptionally(broken -> null);
        Fleet.until("a write is under way", () -> fleet.store.calls().writes() > writes);
        Fleet.await(fleet.daemons.get(0).kill());
        fleet.store.faults(StoreFaults.NONE);
        Fleet.until("the key is settled", () -> {
            HttpResponse<String> second = confirm(1, "k");
            return second.statusCode() == OK || hasMember(second, "title", "ledger-outcome-unknown");
        });
        check("k", List.of(confirm(2, "k")));
    }

    @Test
    void aStoreOutageRefusesCallsAsNotRun() throws Exception {
        awaitReady();
        fleet.store.faults(StoreFaults.OUTAGE);
        HttpResponse<String> refused = confirm(0, "k");
        assertEquals(UNAVAILABLE, refused.statusCode(), refused::body);
        assertTrue(hasMember(refused, "run", "no"), refused::body);
        assertTrue(refused.headers().firstValue("Retry-After").isPresent());
        assertEquals(0, runs("k"));
        fleet.store.faults(StoreFaults.NONE);
        Fleet.until("the store is back", () -> confirm(0, "k").statusCode() == OK);
        assertEquals(1, runs("k"));
    }

    @ParameterizedTest
    @EnumSource(StoreFaults.LostWrite.class)
    void lostWritesNeverCauseASecondRun(StoreFaults.LostWrite lost) throws Exception {
        awaitReady();
        fleet.store.faults(StoreFaults.losing(lost, 3, 100));
        List<String> keys =
                java.util.stream.IntStream.range(0, 8).mapToObj(i -> "k" + i).toList();
        for (String key : keys) {
            CompletableFuture<HttpResponse<String>> one = send(0, key, LONG_MILLIS);
            CompletableFuture<HttpResponse<String>> two = send(1, key, LONG_MILLIS);
            check(key, List.of(one.get(60, TimeUnit.SECONDS), two.get(60, TimeUnit.SECONDS)));
        }
        assertNotEquals(0, keys.stream().mapToLong(this::runs).sum());
    }

    private void check(String key, List<HttpResponse<String>> answers) {
        long runs = runs(key);
        assertTrue(runs <= 1, key + " ran " + runs + " times");
        long served =
                answers.stream().filter(answer -> answer.statusCode() == OK).count();
        assertTrue(served == 0 || runs == 1, key);
    }
}
