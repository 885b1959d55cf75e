package org.endivehold.daemon.entry;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.endivehold.adapter.BootFile;
import org.endivehold.adapter.CrowdPlatform;

/** The program of an entry host as a process of its own on a loopback address of its own, with a small heap. */
final class DaemonProcess implements AutoCloseable {
    /** Descriptors that the process may have, by its settings. */
    static final int MAX_DESCRIPTORS = 300;
    /** Memory that the process may have, by its settings. */
    static final int MAX_MEMORY_MB = 170;

    static final int METRICS_PORT = 9_464;
    private static final long START_LIMIT_MILLIS = 20_000;
    private static final int ANSWER_LIMIT_MILLIS = 2_000;
    private static final String ANSWERED = "HTTP/1.1 200";

    private final Path folder;
    private final String host;
    private final int callersPort;
    private final int readinessPort;
    private final int peersPort;
    private final Process process;

    DaemonProcess(Path folder, CrowdPlatform platform) throws IOException, InterruptedException {
        this.folder = folder;
        ThreadLocalRandom random = ThreadLocalRandom.current();
        // The metrics port is fixed, so each process has a loopback address of its own.
        host = "127." + random.nextInt(1, 255) + "." + random.nextInt(1, 255) + "." + random.nextInt(1, 255);
        FreePorts ports = FreePorts.find(3);
        callersPort = ports.next();
        readinessPort = ports.next();
        peersPort = ports.next();
        Path settings = folder.resolve("boot.toml");
        Files.writeString(settings, settings(platform));
        ProcessBuilder builder = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx48m",
                "-Xss256k",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-XX:-UsePerfData",
                "-Dorg.jboss.logging.provider=jdk",
                "-cp",
                System.getProperty("java.class.path"),
                EntryTool.class.getName());
        builder.environment().put(BootFile.VARIABLE, settings.toString());
        builder.redirectErrorStream(true).redirectOutput(output().toFile());
        process = builder.start();
        if (!awaitAnswer(START_LIMIT_MILLIS)) {
            close();
            throw new IOException("the daemon does not serve: " + Files.readString(output()));
        }
    }

    private String settings(CrowdPlatform platform) {
        return String.join(
                "\n",
                "node = \"crowded\"",
                "ip = \"" + host + "\"",
                "zone = \"zone\"",
                "[listen]",
                "front = \"" + host + ":" + callersPort + "\"",
                "readiness = \"" + host + ":" + readinessPort + "\"",
                "control = \"" + host + ":" + peersPort + "\"",
                "[limits]",
                "memory_mb = " + MAX_MEMORY_MB,
                "max_fds = " + MAX_DESCRIPTORS,
                "[platform]",
                "address = \"" + CrowdPlatform.HOST + ":" + platform.port() + "\"",
                "");
    }

    private Path output() {
        return folder.resolve("output.txt");
    }

    String host() {
        return host;
    }

    int callersPort() {
        return callersPort;
    }

    int readinessPort() {
        return readinessPort;
    }

    int peersPort() {
        return peersPort;
    }

    boolean isAlive() {
        return process.isAlive();
    }

    boolean hasRunOutOfMemory() throws IOException {
        return Files.readString(output(), StandardCharsets.ISO_8859_1).contains("OutOfMemoryError");
    }

    /** Returns the number of open descriptors; 0 if the process has ended. */
    int descriptors() {
        try (Stream<Path> open = Files.list(Path.of("/proc", Long.toString(process.pid()), "fd"))) {
            return (int) open.count();
        } catch (IOException | java.io.UncheckedIOException e) {
            return 0; // The process has ended; isAlive tells.
        }
    }

    /** Returns the resident memory in megabytes; 0 if the process has ended. */
    long memoryMegabytes() {
        try {
            for (String line : Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status"))) {
                if (line.startsWith("VmRSS:")) {
                    return Long.parseLong(line.replaceAll("\\D", "")) >> 10;
                }
            }
        } catch (IOException e) {
            return 0; // The process has ended; isAlive tells.
        }
        return 0;
    }

    /** Waits until an ordinary request is answered; returns whether one was. */
    boolean awaitAnswer(long limitMillis) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMillis);
        do {
            if (isAnswered(host, callersPort, "/plain/ordinary")) {
                return true;
            }
            Thread.sleep(50);
        } while (System.nanoTime() < end && isAlive());
        return false;
    }

    boolean isReady() {
        return isAnswered(host, readinessPort, "/readiness");
    }

    boolean servesMetrics() {
        return isAnswered(host, METRICS_PORT, "/metrics");
    }

    private static boolean isAnswered(String host, int port, String path) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(host, port), ANSWER_LIMIT_MILLIS);
            socket.setSoTimeout(ANSWER_LIMIT_MILLIS);
            String request = "GET " + path + " HTTP/1.1\r\nHost: crowd\r\nX-Api-Key: key\r\n"
                    + CrowdPlatform.ATTEMPT_HEADER + ": ordinary\r\nConnection: close\r\n\r\n";
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            byte[] answer = socket.getInputStream().readNBytes(ANSWERED.length());
            return new String(answer, StandardCharsets.US_ASCII).equals(ANSWERED);
        } catch (IOException e) {
            return false; // Not answered; the caller of this method says what that means.
        }
    }

    @Override
    public void close() {
        process.destroyForcibly();
        process.onExit().orTimeout(10, TimeUnit.SECONDS).join();
    }
}
