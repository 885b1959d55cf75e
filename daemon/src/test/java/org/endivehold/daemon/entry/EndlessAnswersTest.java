package org.endivehold.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.endivehold.adapter.CrowdPlatform;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.api.parallel.Isolated;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against a faulty upstream that sends bytes without end, in a head or a body: the daemon that kept them all ran
 * out of memory, and the requests of its other callers ended with it.
 */
@Isolated
@Execution(ExecutionMode.SAME_THREAD)
class EndlessAnswersTest {
    /** Requests at a time; what all of them together make the daemon hold has to fit into its memory. */
    private static final int REQUESTS = 40;

    private static final long SENDING_MILLIS = 1_500;
    private static final long TURN_MILLIS = 20;
    private static final long LIMIT_MILLIS = 5_000;

    @TempDir
    private Path folder;

    private final Vertx vertx = Vertx.vertx();
    private final CrowdPlatform platform = new CrowdPlatform(vertx);
    private EndlessUpstream upstream;
    private DaemonProcess daemon;

    @BeforeEach
    void start() throws Exception {
        assumeTrue(Files.isDirectory(Path.of("/proc/self/fd")), "memory is read from /proc");
        upstream = new EndlessUpstream(CrowdPlatform.HOST);
        platform.setFaultyPort(upstream.port());
        platform.start().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
        daemon = new DaemonProcess(folder, platform);
    }

    @AfterEach
    void stop() throws Exception {
        if (daemon != null) {
            daemon.close();
        }
        upstream.close();
        vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    private static String request(String path, int index) {
        List<String> lines = new ArrayList<>(List.of(
                "POST " + path + " HTTP/1.1",
                "Host: crowd",
                "X-Api-Key: key",
                CrowdPlatform.ATTEMPT_HEADER + ": endless-" + index,
                "Content-Length: 0"));
        lines.addAll(CrowdPlatform.PROMPT_HEADERS);
        return String.join("\r\n", lines) + "\r\n\r\n";
    }

    @ParameterizedTest
    @EnumSource
    void bytesWithoutEndDoNotEndTheProcess(EndlessUpstream.Kind kind) throws Exception {
        List<String> faults = new ArrayList<>();
        for (String path : List.of("/faulty/", "/faulty-stream/")) {
            int before = upstream.requests();
            long memory = send(path + kind);
            check(faults, upstream.requests() > before, path + ": no request has reached the upstream");
            check(faults, daemon.isAlive(), path + ": the process has ended");
            check(faults, daemon.awaitAnswer(LIMIT_MILLIS), path + ": an ordinary request is not answered");
            check(faults, !daemon.hasRunOutOfMemory(), path + ": OutOfMemoryError");
            check(faults, memory <= DaemonProcess.MAX_MEMORY_MB, path + ": " + memory + " MB are used");
        }
        assertEquals(List.of(), faults);
    }

    /** Sends requests at once, holds them for some time, and returns the most memory that the daemon used meanwhile. */
    private long send(String path) throws Exception {
        List<Socket> sockets = new ArrayList<>();
        long most = 0;
        try {
            for (int i = 0; i < REQUESTS; i++) {
                Socket socket = new Socket(daemon.host(), daemon.callersPort());
                sockets.add(socket);
                socket.getOutputStream().write(request(path, i).getBytes(StandardCharsets.US_ASCII));
            }
            long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SENDING_MILLIS);
            while (System.nanoTime() < end) {
                most = Math.max(most, daemon.memoryMegabytes());
                Thread.sleep(TURN_MILLIS);
            }
        } finally {
            close(sockets);
        }
        return most;
    }

    private static void close(List<Socket> sockets) throws IOException {
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    private static void check(List<String> faults, boolean holds, String fault) {
        if (!holds) {
            faults.add(fault);
        }
    }
}
