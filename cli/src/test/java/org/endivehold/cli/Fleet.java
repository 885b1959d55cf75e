package org.endivehold.cli;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.endivehold.daemon.Daemon;
import org.endivehold.daemon.config.ActiveConfiguration;
import org.endivehold.daemon.config.ConfigurationService;
import org.endivehold.daemon.config.ConfigurationStatus;
import org.endivehold.daemon.operator.OperatorServer;
import org.endivehold.daemon.platform.EtcdStore;
import org.endivehold.daemon.settings.SettingsReader;
import org.endivehold.membership.Member;
import org.endivehold.misc.HostId;
import org.endivehold.misc.Incarnation;
import org.endivehold.misc.ZoneName;
import org.endivehold.platform.PlatformStore;
import org.endivehold.platform.SwapResult;
import org.endivehold.standin.log.StandinLog;
import org.endivehold.standin.store.StoreStandin;

/** Three daemons over loopback with a stand-in store, which each daemon reaches through a TCP proxy of its own. */
final class Fleet implements AutoCloseable {
    static final int DAEMONS = 3;
    private static final String TOKEN = "operators-secret";
    private static final long TIMEOUT_SECONDS = 60;

    final Vertx vertx = Vertx.vertx();
    final StoreStandin store = new StoreStandin(0, new StandinLog());
    final List<Daemon> daemons = new ArrayList<>();
    final List<TcpProxy> proxies = new ArrayList<>();
    private final Path token;

    Fleet(Path folder) throws Exception {
        token = Files.writeString(folder.resolve("token"), TOKEN + "\n");
        await(vertx.deployVerticle(store));
        for (int i = 0; i < DAEMONS; i++) {
            TcpProxy proxy = new TcpProxy(vertx, store.port());
            proxies.add(proxy);
            Daemon daemon = new Daemon(
                    SettingsReader.parse(settings("h" + i, proxy.start()).encode()));
            daemons.add(daemon);
            await(daemon.start());
        }
    }

    /** Registers a host on which no daemon runs. */
    void registerUnreachableHost(String host) throws Exception {
        Member unreachable = new Member(new HostId(host), new Incarnation(1), new ZoneName("z"), "127.0.0.1", 1, false);
        byte[] entry = new ObjectMapper().writeValueAsBytes(unreachable);
        PlatformStore platform = daemons.get(0).kernel().find(EtcdStore.NAME, PlatformStore.class);
        Promise<SwapResult> written = Promise.promise();
        daemons.get(0).context().vertx().runOnContext(ignored -> Future.fromCompletionStage(
                        platform.compareAndSwap("hosts/" + host, 0, entry, Optional.empty()))
                .onComplete(written));
        assertTrue(await(written.future()).swapped());
    }

    private JsonObject settings(String host, int storePort) {
        JsonObject anyPort = new JsonObject().put("port", 0);
        return new JsonObject()
                .put("host", host)
                .put("zone", "z")
                .put("seed", 1)
                .put("callers", anyPort)
                .put("operators", anyPort.copy().put("tokenFile", token.toString()))
                .put("peers", anyPort)
                .put("store", new JsonObject().put("endpoints", List.of("http://127.0.0.1:" + storePort)))
                .put("membership", new JsonObject().put("leaseMillis", 4_000).put("renewMillis", 500))
                .put("shutdown", new JsonObject().put("lagMillis", 0));
    }

    ConfigurationService configuration(int daemon) throws Exception {
        return daemons.get(daemon).kernel().find(ActiveConfiguration.NAME, ConfigurationService.class);
    }

    ConfigurationStatus status(int daemon) throws Exception {
        ConfigurationService service = configuration(daemon);
        Promise<ConfigurationStatus> status = Promise.promise();
        daemons.get(daemon).context().vertx().runOnContext(ignored -> status.complete(service.status()));
        return await(status.future());
    }

    String url(int daemon) throws Exception {
        return "http://127.0.0.1:"
                + daemons.get(daemon)
                        .kernel()
                        .find(OperatorServer.NAME, OperatorServer.class)
                        .port();
    }

    /** Exit code and output of a run of the tool. */
    record Result(ExitCode code, String out, String err) {}

    Result run(String... args) throws Exception {
        return run(Map.of("ENDIVEHOLD_DAEMON", url(0) + "," + url(1)), args);
    }

    Result run(Map<String, String> overrides, String... args) throws Exception {
        Map<String, String> variables = new java.util.HashMap<>(
                Map.of("ENDIVEHOLD_TOKEN_FILE", token.toString(), "ENDIVEHOLD_DAEMON", url(0), "USER", "ana"));
        variables.putAll(overrides);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        ExitCode code = OperatorTool.run(
                args,
                new PrintStream(out, true, StandardCharsets.UTF_8),
                new PrintStream(err, true, StandardCharsets.UTF_8),
                variables);
        return new Result(code, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
    }

    static void until(String description, Callable<Boolean> condition) throws Exception {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (!condition.call()) {
            assertTrue(System.nanoTime() < deadline, description);
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    @Override
    public void close() throws Exception {
        for (Daemon daemon : daemons) {
            await(daemon.kill());
        }
        await(vertx.close());
    }
}
