package org.endivehold.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.json.JsonObject;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.endivehold.daemon.config.ConfigurationStatus;
import org.endivehold.standin.store.StoreFaults;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests the tool against three real daemons over loopback. */
class OperatorToolTest {
    private static final Path EXAMPLES = Path.of("..", "examples");

    @TempDir
    Path folder;

    private Fleet fleet;
    private String quito;

    @BeforeEach
    void start() throws Exception {
        fleet = new Fleet(folder);
        quito = copy("quito").toString();
    }

    @AfterEach
    void stop() throws Exception {
        fleet.close();
    }

    private Path copy(String example) throws Exception {
        Path target = Files.createDirectory(folder.resolve(example));
        try (var files = Files.list(EXAMPLES.resolve(example))) {
            for (Path file : files.filter(f -> f.toString().endsWith(".json")).toList()) {
                Files.copy(file, target.resolve(file.getFileName()));
            }
        }
        return target;
    }

    private void publishFirst() throws Exception {
        Fleet.Result result = fleet.run("publish", quito, "--wait");
        assertEquals(ExitCode.OK, result.code(), result::toString);
    }

    private void replace(String file, String from, String to) throws Exception {
        Path path = Path.of(quito, file);
        String changed = Files.readString(path).replace(from, to);
        assertNotEquals(Files.readString(path), changed);
        Files.writeString(path, changed);
    }

    @Test
    void firstPublishReachesEveryDaemonAndShowsInEveryView() throws Exception {
        Fleet.Result beforePublish = fleet.run("diff", quito);
        assertTrue(beforePublish.out().contains("against revision 0"), beforePublish::toString);
        publishFirst();
        for (int i = 0; i < Fleet.DAEMONS; i++) {
            assertEquals(1, fleet.status(i).revision());
        }
        assertEquals(
                "0 changes against revision 1", fleet.run("diff", quito).out().strip());
        assertTrue(fleet.run("history").out().contains(" ana "));
        Fleet.until("all daemons are shown", () -> {
            String view = fleet.run("status").out();
            return view.contains("h0") && view.contains("h1") && view.contains("h2");
        });
        String view = fleet.run("top", "--count", "1").out();
        assertTrue(view.matches("(?s).*engine-01 +engine +quito-norte +serving +32 .*"), view);
        assertTrue(view.contains("in force at every live daemon"), view);
        assertTrue(view.contains("quito-norte") && view.contains("engine-16"), view);
        assertEquals(1, new JsonObject(fleet.run("--json", "status").out()).getInteger("revision"));
    }

    @Test
    void checkNamesObjectAndField() throws Exception {
        assertEquals(ExitCode.OK, fleet.run("check", quito).code());
        replace("models.json", "\"model\": \"rota-assistant\"", "\"model\": \"gone\"");
        Fleet.Result checked = fleet.run("check", quito);
        assertEquals(ExitCode.FAULTS, checked.code());
        assertTrue(checked.out().contains("Version/rota-assistant-v1 model: dangling"), checked::toString);
        Fleet.Result refused = fleet.run("publish", quito);
        assertEquals(ExitCode.FAULTS, refused.code());
        assertTrue(refused.err().contains("next: "), refused::toString);
    }

    @Test
    void zoneAndUpstreamCommandsEditTheNewestRevision() throws Exception {
        publishFirst();
        assertEquals(
                ExitCode.OK, fleet.run("zone", "out", "quito-sur", "--wait").code());
        assertEquals(
                ExitCode.OK,
                fleet.run("upstream", "drain", "engine-03", "--wait").code());
        ConfigurationStatus status = fleet.status(1);
        assertEquals(List.of("quito-sur"), status.zonesOut());
        assertEquals(List.of("engine-03"), status.upstreamsLeaving());
        assertTrue(fleet.run("zone", "out", "quito-sur").out().contains("already"));
        fleet.run("zone", "in", "quito-sur");
        assertEquals(
                ExitCode.OK,
                fleet.run("upstream", "undrain", "engine-03", "--wait").code());
        assertEquals(List.of(), fleet.status(2).zonesOut());
        assertEquals(ExitCode.FAULTS, fleet.run("zone", "out", "atlantis").code());
    }

    @Test
    void staleFilesAreAConflictThatNamesTheChange() throws Exception {
        publishFirst();
        fleet.run("zone", "out", "quito-sur");
        Fleet.Result stale = fleet.run("publish", quito);
        assertEquals(ExitCode.CONFLICT, stale.code());
        assertTrue(stale.err().contains("AvailabilityZone/quito-sur state"), stale::toString);
        assertTrue(stale.err().contains("next: "), stale::toString);
    }

    @Test
    void concurrentEditsBothSucceedAndOnlyOnePublishSucceedsOnTheSameParent() throws Exception {
        publishFirst();
        List<Fleet.Result> edits = runConcurrently(
                new String[] {"zone", "out", "quito-sur"}, new String[] {"upstream", "drain", "engine-01", "--wait"});
        edits.forEach(edit -> assertEquals(ExitCode.OK, edit.code(), edit::toString));
        Fleet.until("both edits are in force", () -> fleet.status(0).revision() == 3);
        assertEquals(List.of("quito-sur"), fleet.status(0).zonesOut());
        assertEquals(List.of("engine-01"), fleet.status(0).upstreamsLeaving());
        List<Fleet.Result> publishes = runConcurrently(
                new String[] {"publish", quito, "--parent", "3"},
                new String[] {"publish", copy("fondo").toString(), "--parent", "3"});
        List<ExitCode> codes =
                new ArrayList<>(publishes.stream().map(Fleet.Result::code).toList());
        Collections.sort(codes);
        assertEquals(List.of(ExitCode.OK, ExitCode.CONFLICT), codes, publishes::toString);
    }

    private List<Fleet.Result> runConcurrently(String[]... commands) throws Exception {
        List<CompletableFuture<Fleet.Result>> running = new ArrayList<>();
        for (String[] command : commands) {
            running.add(CompletableFuture.supplyAsync(() -> {
                try {
                    return fleet.run(command);
                } catch (Exception e) {
                    throw new IllegalStateException(e);
                }
            }));
        }
        List<Fleet.Result> results = new ArrayList<>();
        for (CompletableFuture<Fleet.Result> result : running) {
            results.add(result.get());
        }
        return results;
    }

    @Test
    void daemonWithoutTheStoreLearnsFromPeers() throws Exception {
        publishFirst();
        fleet.proxies.get(2).cut(true);
        Fleet.Result out = fleet.run("zone", "out", "quito-norte", "--wait");
        assertEquals(ExitCode.OK, out.code(), out::toString);
        ConfigurationStatus cut = fleet.status(2);
        assertEquals(List.of("quito-norte"), cut.zonesOut());
        assertNotEquals("store", cut.source());
        Fleet.until("contact is restored", () -> !fleet.status(2).isolated());
    }

    @Test
    void daemonWithoutStoreAndPeersIsNotReadyUntilTheStoreReturns() throws Exception {
        publishFirst();
        Fleet.until("all joined", () -> registeredSeenFrom(2) == Fleet.DAEMONS);
        fleet.proxies.get(2).cut(true);
        Fleet.await(fleet.daemons.get(0).kill());
        Fleet.await(fleet.daemons.get(1).kill());
        Fleet.until("it is isolated", () -> fleet.status(2).isolated());
        assertTrue(fleet.configuration(2).notReady().isPresent());
        assertEquals(1, fleet.status(2).revision(), "it goes on with what it has");
        fleet.proxies.get(2).cut(false);
        Fleet.until("it reaches the store again", () -> !fleet.status(2).isolated());
    }

    private long registeredSeenFrom(int daemon) throws Exception {
        String status =
                fleet.run("--daemon", fleet.url(daemon), "--json", "status").out();
        return new JsonObject(status)
                .getJsonArray("daemons").stream()
                        .filter(seen -> "registered".equals(((JsonObject) seen).getString("membership")))
                        .count();
    }

    @Test
    void storeOutageChangesNothingAndPublishSaysSo() throws Exception {
        publishFirst();
        fleet.store.faults(StoreFaults.OUTAGE);
        Fleet.until("the outage is noticed", () -> fleet.status(0).storeSilentMillis() > 5_000);
        for (int i = 0; i < Fleet.DAEMONS; i++) {
            int daemon = i;
            assertEquals(1, fleet.status(i).revision());
            Fleet.until("contact is restored", () -> !fleet.status(daemon).isolated());
        }
        Fleet.Result refused = fleet.run("zone", "out", "quito-sur");
        assertEquals(ExitCode.UNAVAILABLE, refused.code(), refused::toString);
        fleet.store.faults(StoreFaults.NONE);
        Fleet.Result done = fleet.run("zone", "out", "quito-sur", "--wait");
        assertEquals(ExitCode.OK, done.code(), done::toString);
    }

    @ParameterizedTest
    @EnumSource(StoreFaults.LostWrite.class)
    void lostAnswersPublishOnce(StoreFaults.LostWrite lost) throws Exception {
        publishFirst();
        fleet.store.faults(StoreFaults.losing(lost, 3, 50));
        Fleet.Result result = fleet.run("zone", "out", "quito-sur", "--publish-id", "p-1");
        for (int i = 0; i < 3 && result.code() == ExitCode.UNKNOWN; i++) {
            result = fleet.run("zone", "out", "quito-sur", "--publish-id", "p-1");
        }
        fleet.store.faults(StoreFaults.NONE);
        assertEquals(ExitCode.OK, result.code(), result::toString);
        Fleet.until("in force", () -> fleet.status(1).revision() == 2);
        assertEquals(2, fleet.run("history").out().lines().count());
    }

    @Test
    void waitNamesLaggingDaemons() throws Exception {
        fleet.registerUnreachableHost("ghost");
        Fleet.Result result = fleet.run("publish", quito, "--wait", "--timeout", "1");
        assertEquals(ExitCode.LAGGING, result.code(), result::toString);
        assertTrue(result.out().contains("ghost (does not answer)"), result::toString);
    }

    @ParameterizedTest
    @CsvSource({
        "FAULTS, trace unknown-request",
        "OK, completion bash",
        "USAGE, completion fish",
        "USAGE, zone sideways x",
        "USAGE, frobnicate",
        "USAGE, publish",
        "FAULTS, check no-such-directory",
        "UNAVAILABLE, --daemon http://127.0.0.1:1 status",
        "UNAUTHENTICATED, --token-file ../README.md status",
        "UNAUTHENTICATED, --token-file no-such-file status",
        "OK, help publish"
    })
    void exitCodes(ExitCode expected, String line) throws Exception {
        Fleet.Result result = fleet.run(line.split(" ", -1));
        assertEquals(expected, result.code(), result::toString);
        boolean failed = expected != ExitCode.OK && !line.startsWith("check");
        assertEquals(failed, result.err().contains("next: "), result::toString);
    }

    @Test
    void nextDaemonIsAskedWhenOneIsDown() throws Exception {
        Map<String, String> variables = Map.of("ENDIVEHOLD_DAEMON", "http://127.0.0.1:1," + fleet.url(0));
        assertEquals(ExitCode.OK, fleet.run(variables, "status").code());
    }
}
