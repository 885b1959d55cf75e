package org.endivehold.daemon.entry;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.endivehold.adapter.BootFile;
import org.endivehold.adapter.HeaderNames;
import org.endivehold.adapter.OrderClient;
import org.endivehold.adapter.PlatformStoreClient;
import org.endivehold.adapter.StoreEntries;
import org.endivehold.error.EndiveholdException;
import org.endivehold.misc.LogEvent;
import org.endivehold.misc.Ticker;
import org.endivehold.relay.RelaySettings;
import org.jboss.logging.Logger;

/**
 * The command line of the daemon of an entry host, which reads the settings file that the platform puts on the host.
 * Exit codes: 0 after a graceful stop, 1 if the daemon cannot start or does not stop in time, 2 for invalid settings.
 */
public final class EntryTool {
    /** TCP port on which metrics are served. */
    private static final int METRICS_PORT = 9_464;

    /** Argument for a short run on the loopback interface, after which the JVM writes its class data archive. */
    private static final String WARM_UP = "--warm-up";

    private static final int EXIT_OK = 0;
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_SETTINGS = 2;

    private static final Logger log = Logger.getLogger(EntryTool.class);

    private EntryTool() {}

    /** Runs the daemon until the process gets a signal to terminate. */
    public static void main(String[] args) {
        EntryLogging.install();
        HangupSignal hangup = HangupSignal.install();
        if (args.length > 0 && args[0].equals(WARM_UP)) {
            warmUp();
            return;
        }
        Path file = BootFile.path();
        RelaySettings settings;
        try {
            settings = BootFile.read(file, METRICS_PORT);
        } catch (EndiveholdException e) {
            System.err.println("endiveholdd: " + e.getMessage());
            Runtime.getRuntime().halt(EXIT_SETTINGS);
            return;
        }
        Vertx vertx = EntryDaemon.createVertx();
        EntryDaemon daemon = new EntryDaemon(
                vertx,
                settings,
                new PlatformStoreClient(vertx, settings.store()),
                new StoreEntries(),
                new HeaderNames(),
                new OrderClient(vertx, Ticker.system(), new HeaderNames()));
        long graceMillis = settings.bounds().graceMillis();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(daemon, graceMillis), "stop"));
        hangup.onSignal(() -> reload(daemon, file));
        daemon.start().onFailure(failure -> {
            System.err.println("endiveholdd: cannot start: " + failure.getMessage());
            Runtime.getRuntime().halt(EXIT_FAILED);
        });
    }

    private static void warmUp() {
        try {
            WarmUp.run();
            System.exit(EXIT_OK);
        } catch (InterruptedException | ExecutionException | TimeoutException | IOException | EndiveholdException e) {
            System.err.println("endiveholdd: warm-up failed: " + e);
            System.exit(EXIT_FAILED);
        }
    }

    private static void reload(EntryDaemon daemon, Path file) {
        try {
            daemon.reload(BootFile.read(file, METRICS_PORT));
        } catch (EndiveholdException e) {
            LogEvent.of("settings-not-reloaded").with("reason", e.getMessage()).warn(log);
        }
    }

    /**
     * Waits for the graceful stop and halts with exit code 0. If the hook merely returned, the process would end with
     * the exit code of the signal.
     */
    private static void stop(EntryDaemon daemon, long graceMillis) {
        CountDownLatch stopped = new CountDownLatch(1);
        daemon.stop().onComplete(done -> stopped.countDown());
        try {
            boolean inTime = stopped.await(graceMillis, TimeUnit.MILLISECONDS);
            EntryLogging.awaitLastLines();
            Runtime.getRuntime().halt(inTime ? EXIT_OK : EXIT_FAILED);
        } catch (InterruptedException e) {
            Runtime.getRuntime().halt(EXIT_FAILED);
        }
    }
}
