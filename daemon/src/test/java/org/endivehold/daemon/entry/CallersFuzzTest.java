package org.endivehold.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.endivehold.adapter.CrowdPlatform;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.api.parallel.Isolated;

/**
 * Malformed request heads, chunks and lengths at the callers' port; none may end or block the process. The property
 * {@code endivehold.fuzz.seconds} sets a longer time, and {@code endivehold.fuzz.seed} another seed.
 */
@Isolated
@Execution(ExecutionMode.SAME_THREAD)
class CallersFuzzTest {
    private static final int CASES_PER_CHECK = 100;
    private static final List<String> REQUESTS = List.of(
            "GET /plain/f HTTP/1.1\r\nHost: crowd\r\nX-Api-Key: key\r\n\r\n",
            "POST /plain/f HTTP/1.1\r\nHost: crowd\r\nX-Api-Key: key\r\nContent-Length: 5\r\n\r\nhello",
            "POST /stream/f HTTP/1.1\r\nHost: crowd\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
            "POST /nowhere HTTP/1.0\r\nContent-Length: 0\r\nExpect: 100-continue\r\n\r\n");
    private static final List<String> FRAGMENTS = List.of(
            "\r\n",
            "\r\n\r\n",
            "\n",
            "\0",
            ":",
            "Content-Length: -1\r\n",
            "Content-Length: 99999999999999999999\r\n",
            "Transfer-Encoding: chunked\r\n",
            "ffffffffffffffff\r\n",
            "7fffffff\r\n",
            "0\r\n",
            "HTTP/1.1",
            "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n",
            "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n");

    @TempDir
    private Path folder;

    @Test
    void malformedRequestsLeaveTheDaemonServing() throws Exception {
        assumeTrue(Files.isDirectory(Path.of("/proc/self/fd")), "the daemon process is observed through /proc");
        long seconds = Long.getLong("endivehold.fuzz.seconds", 3);
        long seed = Long.getLong("endivehold.fuzz.seed", 20_261_206);
        Vertx vertx = Vertx.vertx();
        CrowdPlatform platform = new CrowdPlatform(vertx);
        platform.start().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
        try (DaemonProcess daemon = new DaemonProcess(folder, platform)) {
            Random random = new Random(seed);
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
            for (int round = 0; System.nanoTime() < end; round++) {
                for (int i = 0; i < CASES_PER_CHECK; i++) {
                    send(daemon, mutated(random));
                }
                assertTrue(daemon.isAlive() && daemon.awaitAnswer(5_000), "seed " + seed + ", round " + round);
                assertFalse(daemon.hasRunOutOfMemory(), "seed " + seed + ", round " + round);
            }
        } finally {
            vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
        }
    }

    private static String mutated(Random random) {
        StringBuilder text = new StringBuilder();
        int requests = 1 + random.nextInt(3);
        for (int i = 0; i < requests; i++) {
            text.append(REQUESTS.get(random.nextInt(REQUESTS.size())));
        }
        int changes = random.nextInt(6);
        for (int i = 0; i < changes; i++) {
            int at = random.nextInt(text.length());
            switch (random.nextInt(4)) {
                case 0 -> text.insert(at, FRAGMENTS.get(random.nextInt(FRAGMENTS.size())));
                case 1 -> text.setCharAt(at, (char) random.nextInt(256));
                case 2 -> text.delete(at, Math.min(text.length() - 1, at + random.nextInt(20)));
                default -> text.insert(at, text.substring(at, Math.min(text.length(), at + random.nextInt(60))));
            }
        }
        return text.toString();
    }

    private static void send(DaemonProcess daemon, String text) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(daemon.host(), daemon.callersPort()), 2_000);
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        } catch (IOException e) {
            return; // The daemon has closed the connection, as it may.
        }
    }
}
