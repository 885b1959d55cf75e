package org.endivehold.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.endivehold.adapter.CrowdPlatform;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.api.parallel.Isolated;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Crowds of clients that a daemon does not control. Heads of very many fields ended a process, and pipelined requests
 * and small chunks kept it from answering after the crowd had gone.
 */
@Isolated
@Execution(ExecutionMode.SAME_THREAD)
class CrowdsTest {
    /** Clients of a crowd; with a descriptor each they would be more than the process may have. */
    private static final int CLIENTS = 300;
    /** Descriptors that may be open after a crowd beyond those before it: connections to the store and upstreams. */
    private static final int DESCRIPTOR_SLACK = 30;

    private static final long CROWD_MILLIS = 500;
    private static final long TURN_MILLIS = 20;
    private static final long LIMIT_MILLIS = 5_000;

    @TempDir
    private Path folder;

    private final Vertx vertx = Vertx.vertx();
    private final CrowdPlatform platform = new CrowdPlatform(vertx);
    private final List<String> faults = new ArrayList<>();
    private final List<String> descriptorFaults = new ArrayList<>();
    private DaemonProcess daemon;

    @BeforeEach
    void start() throws Exception {
        assumeTrue(Files.isDirectory(Path.of("/proc/self/fd")), "memory and descriptors are read from /proc");
        platform.start().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    @AfterEach
    void stop() throws Exception {
        if (daemon != null) {
            daemon.close();
        }
        vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    @ParameterizedTest
    @EnumSource
    void aCrowdOfOneKindLeavesTheDaemonSound(CrowdKind kind) throws Exception {
        meetAtEachTarget(kind);
        assertEquals(List.of(), faults);
    }

    @ParameterizedTest
    @EnumSource
    @Tag("known-red")
    void aCrowdOfOneKindStaysUnderTheDescriptors(CrowdKind kind) throws Exception {
        meetAtEachTarget(kind);
        assertEquals(List.of(), descriptorFaults);
    }

    private void meetAtEachTarget(CrowdKind kind) throws Exception {
        for (CrowdKind.Target target : CrowdKind.Target.values()) {
            int faultsBefore = faults.size();
            meet(kind + " at " + target, Stream.of(crowd(kind, target, CLIENTS)));
            if (faults.size() > faultsBefore) {
                daemon.close();
                daemon = null;
            }
        }
    }

    @Test
    void aMixedCrowdLeavesTheDaemonSound() throws Exception {
        meetMixedCrowd();
        assertEquals(List.of(), faults);
    }

    @Test
    @Tag("known-red")
    void aMixedCrowdStaysUnderTheDescriptors() throws Exception {
        meetMixedCrowd();
        assertEquals(List.of(), descriptorFaults);
    }

    private void meetMixedCrowd() throws Exception {
        startIfNeeded();
        List<Crowd> crowds = new ArrayList<>();
        for (CrowdKind kind : CrowdKind.values()) {
            for (CrowdKind.Target target : CrowdKind.Target.values()) {
                crowds.add(crowd(kind, target, CLIENTS / 10));
            }
        }
        meet("mixed", crowds.stream());
    }

    private Crowd crowd(CrowdKind kind, CrowdKind.Target target, int clients) throws Exception {
        startIfNeeded();
        List<Crowd.Script> scripts = new ArrayList<>();
        for (int i = 0; i < clients; i++) {
            scripts.add(kind.script(target, i));
        }
        return new Crowd(daemon.host(), target.port(daemon), scripts);
    }

    private void startIfNeeded() throws IOException, InterruptedException {
        if (daemon == null) {
            daemon = new DaemonProcess(folder, platform);
        }
    }

    /** Lets crowds come and go; records what is wrong meanwhile and afterwards. */
    private void meet(String name, Stream<Crowd> coming) throws Exception {
        List<Crowd> crowds = coming.toList();
        int descriptorsBefore = daemon.descriptors();
        int mostDescriptors = 0;
        long mostMemory = 0;
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CROWD_MILLIS);
        while (System.nanoTime() < end) {
            crowds.forEach(Crowd::takeTurn);
            mostDescriptors = Math.max(mostDescriptors, daemon.descriptors());
            mostMemory = Math.max(mostMemory, daemon.memoryMegabytes());
            Thread.sleep(TURN_MILLIS);
        }
        crowds.forEach(Crowd::close);
        boolean answered = daemon.awaitAnswer(LIMIT_MILLIS);
        int left = awaitDescriptors(descriptorsBefore + DESCRIPTOR_SLACK);
        check(answered, name, "an ordinary request is not answered");
        check(daemon.isAlive(), name, "the process has ended");
        check(daemon.isReady(), name, "readiness is not answered");
        check(daemon.servesMetrics(), name, "metrics are not answered");
        check(!daemon.hasRunOutOfMemory(), name, "OutOfMemoryError");
        if (mostDescriptors > DaemonProcess.MAX_DESCRIPTORS) {
            descriptorFaults.add(name + ": " + mostDescriptors + " descriptors are open");
        }
        check(left <= descriptorsBefore + DESCRIPTOR_SLACK, name, left + " of " + descriptorsBefore + " stay open");
        check(mostMemory <= DaemonProcess.MAX_MEMORY_MB, name, mostMemory + " MB are used");
        for (Crowd crowd : crowds) {
            for (String uri : crowd.refused()) {
                check(!platform.hasReached(uri), name, uri + " was refused as not run and has run");
            }
        }
        System.out.printf(
                "%s: %d descriptors (%d before, %d after), %d MB%n",
                name, mostDescriptors, descriptorsBefore, left, mostMemory);
    }

    private int awaitDescriptors(int bound) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LIMIT_MILLIS);
        while (daemon.descriptors() > bound && System.nanoTime() < end) {
            Thread.sleep(TURN_MILLIS);
        }
        return daemon.descriptors();
    }

    private void check(boolean holds, String name, String fault) {
        if (!holds) {
            faults.add(name + ": " + fault);
        }
    }
}
