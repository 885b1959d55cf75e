package org.endivehold.bench.start;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.endivehold.adapter.BootFile;
import org.endivehold.adapter.LoopbackPlatform;
import org.endivehold.bench.fleet.Waiting;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;

/** Starts the packaged daemon as a process before a loopback platform, until it has answered one request. */
public final class Starter implements AutoCloseable {
    /** Loopback address for metrics, whose port is fixed; other daemons on this machine use the usual one. */
    private static final String METRICS_HOST = "127.83.1.1";
    /** Upstreams of the loopback platform. */
    private static final int UPSTREAMS = 3;

    private static final double NANOS_PER_MILLI = 1e6;
    private static final String ARCHIVED = "shared objects file";

    private final RunLine command;
    private final Vertx vertx = Vertx.vertx();
    private final HttpClient client = vertx.createHttpClient();
    private final LoopbackPlatform platform;

    /**
     * Creates it with a store that holds a configuration.
     *
     * @param command starts the daemon
     * @param routes number of routes in the configuration
     * @throws EndiveholdException if the platform cannot listen
     */
    public Starter(RunLine command, int routes) throws EndiveholdException {
        this.command = command;
        platform = new LoopbackPlatform(vertx, StartConfiguration.document(routes));
        Waiting.on(platform.start());
    }

    /**
     * Starts the daemon once and ends its process after the first response.
     *
     * @throws EndiveholdException of type {@code INTERNAL} if the process ends before it is configured; the failure of
     *     the request if it has another status than 200
     */
    public StartSample sample() throws EndiveholdException {
        return run(command);
    }

    /**
     * Starts the daemon once and lists the classes that it loads.
     *
     * @param file receives the JVM's log of the classes
     * @return the number of classes, and the number of those that did not come from the archive
     */
    public List<Long> classes(Path file) throws EndiveholdException {
        run(command.with("-Xlog:class+load:file=" + file));
        try (Stream<String> lines = Files.lines(file)) {
            List<String> loaded =
                    lines.filter(line -> line.contains(" source: ")).toList();
            long archived =
                    loaded.stream().filter(line -> line.contains(ARCHIVED)).count();
            return List.of((long) loaded.size(), loaded.size() - archived);
        } catch (IOException e) {
            throw failure(e);
        }
    }

    private StartSample run(RunLine line) throws EndiveholdException {
        try {
            int callers = freePort();
            Path boot = Files.createTempFile("start", ".toml");
            Files.writeString(
                    boot, platform.settings("start", METRICS_HOST, callers, freePort(), freePort(), freePort()));
            ProcessBuilder builder = new ProcessBuilder(line.words()).redirectErrorStream(true);
            builder.environment().put(BootFile.VARIABLE, boot.toString());
            long begin = System.nanoTime();
            Process process = builder.start();
            try {
                return observe(process, begin, callers);
            } finally {
                process.destroyForcibly().waitFor();
                Files.delete(boot);
            }
        } catch (IOException e) {
            throw failure(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw failure(e);
        }
    }

    /** Follows the log of the process; the first request is sent when the daemon has all that it needs to answer it. */
    private StartSample observe(Process process, long begin, int callers) throws IOException, EndiveholdException {
        ProcessFigures figures = new ProcessFigures(process.pid());
        StartSample.Mark open = null;
        boolean configured = false;
        int upstreams = 0;
        try (BufferedReader log = process.inputReader(StandardCharsets.UTF_8)) {
            while (open == null || !configured || upstreams < UPSTREAMS) {
                String line = log.readLine();
                if (line == null) {
                    throw new EndiveholdException(ErrorType.INTERNAL, "the daemon ended before it was configured");
                }
                if (line.contains("event=daemon-started")) {
                    open = mark(figures, begin);
                }
                configured |= line.contains("event=configuration-in-force");
                upstreams += line.contains("event=upstream-registered") ? 1 : 0;
            }
            StartSample.Mark ready = mark(figures, begin);
            Waiting.on(platform.callPlain(client, callers));
            return new StartSample(open, ready, mark(figures, begin), figures.peakMegabytes());
        }
    }

    private static StartSample.Mark mark(ProcessFigures figures, long begin) throws EndiveholdException {
        double wall = (System.nanoTime() - begin) / NANOS_PER_MILLI;
        return new StartSample.Mark(figures.cpuMillis(), wall);
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private static EndiveholdException failure(Exception cause) {
        return new EndiveholdException(ErrorType.INTERNAL, "cannot start the daemon: " + cause).causedBy(cause);
    }

    @Override
    public void close() throws EndiveholdException {
        Waiting.on(vertx.close());
    }
}
