package org.endivehold.daemon.entry;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.PoolOptions;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.endivehold.adapter.BootFile;
import org.endivehold.adapter.HeaderNames;
import org.endivehold.adapter.LoopbackPlatform;
import org.endivehold.adapter.OrderClient;
import org.endivehold.adapter.PlatformStoreClient;
import org.endivehold.adapter.StoreEntries;
import org.endivehold.error.EndiveholdException;
import org.endivehold.http.HttpClients;
import org.endivehold.misc.Ticker;
import org.endivehold.relay.RelaySettings;

/**
 * Runs two daemons on the loopback interface for a short time, so that the JVM can write an archive of the loaded
 * classes.
 *
 * <p>They read settings files, follow a store, connect to each other and serve requests. A daemon that starts with the
 * archive reads hardly any class from its jar, neither for its start nor for its first requests, so it is ready sooner
 * and uses less processor time.
 */
final class WarmUp {
    /** Time for which the daemons run after they have started, in milliseconds: several pings between them. */
    private static final long RUN_MILLIS = 1_700;
    /** Requests of each kind; the later ones find all state known. */
    private static final int ROUNDS = 3;
    /** Ports of two daemons: for callers, readiness, peers and metrics. */
    private static final int PORTS = 8;

    private static final String HOST = "127.0.0.1";
    private static final long TIMEOUT_SECONDS = 20;

    private final Vertx vertx = EntryDaemon.createVertx();
    private final HttpClient client = HttpClients.create(vertx, new HttpClientOptions(), new PoolOptions());
    private final LoopbackPlatform platform = new LoopbackPlatform(vertx);

    private WarmUp() {}

    static void run()
            throws InterruptedException, ExecutionException, TimeoutException, IOException, EndiveholdException {
        new WarmUp().runDaemons();
    }

    private void runDaemons()
            throws InterruptedException, ExecutionException, TimeoutException, IOException, EndiveholdException {
        await(platform.start());
        FreePorts ports = FreePorts.find(PORTS);
        int callers = ports.next();
        int firstPeers = ports.next();
        int secondPeers = ports.next();
        EntryDaemon first =
                daemon(platform.settings("first", HOST, callers, ports.next(), firstPeers, secondPeers), ports);
        EntryDaemon second =
                daemon(platform.settings("second", HOST, ports.next(), ports.next(), secondPeers, firstPeers), ports);
        await(first.start());
        await(second.start());
        for (int i = 0; i < ROUNDS; i++) {
            Future<Void> served = vertx.timer(RUN_MILLIS / ROUNDS, TimeUnit.MILLISECONDS)
                    .compose(waited -> platform.call(client, callers));
            await(served);
        }
        await(vertx.close());
    }

    private EntryDaemon daemon(String settingsText, FreePorts ports) throws IOException, EndiveholdException {
        Path file = Files.createTempFile("endiveholdd", ".toml");
        Files.writeString(file, settingsText);
        RelaySettings settings = BootFile.read(file, ports.next());
        Files.delete(file);
        return new EntryDaemon(
                vertx,
                settings,
                new PlatformStoreClient(vertx, settings.store()),
                new StoreEntries(),
                new HeaderNames(),
                new OrderClient(vertx, Ticker.system(), new HeaderNames()));
    }

    private static void await(Future<?> future) throws InterruptedException, ExecutionException, TimeoutException {
        future.toCompletionStage().toCompletableFuture().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
}
