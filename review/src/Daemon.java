import java.io.IOException;
import java.io.InputStream;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A daemon of the project, started as a process with the command of the deploy file. */
final class Daemon {
    final String name;
    final String host;
    final String zone;
    final int callers;
    final int readiness;
    final int control;
    private final Path folder;
    private Process process;
    /** While true, nobody reads what the daemon writes to its standard output. */
    volatile boolean outputUnread;
    /** Whether the daemon got SIGTERM and has not ended. */
    volatile boolean stopping;

    Daemon(String name, String host, String zone, Path folder) throws IOException {
        this.name = name;
        this.host = host;
        this.zone = zone;
        this.folder = folder;
        callers = freePort(host);
        readiness = freePort(host);
        control = freePort(host);
    }

    /** Returns a free port below those that the system gives to outgoing connections. */
    private static int freePort(String host) throws IOException {
        for (int i = 0; i < 100; i++) {
            int port = ThreadLocalRandom.current().nextInt(15_000, 30_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(host))) {
                return socket.getLocalPort();
            } catch (BindException e) {
                continue; // It is taken; another one is tried.
            }
        }
        throw new IOException("no free port at " + host);
    }

    /** Starts the process. */
    void start(Path repository, String storeAddress, List<Daemon> seeds) throws IOException {
        Path boot = folder.resolve(name + ".toml");
        List<String> addresses = new ArrayList<>();
        seeds.forEach(seed -> addresses.add("\"" + seed.host + ":" + seed.control + "\""));
        Files.writeString(boot, settings(storeAddress, String.join(",", addresses)));
        String deploy = Files.readString(repository.resolve("deploy/system.toml"));
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
        if (!run.find()) {
            throw new IOException("no run command in the deploy file");
        }
        ProcessBuilder builder = new ProcessBuilder(List.of(run.group(1).split(" ")));
        builder.directory(repository.toFile());
        Map<String, String> caller = Map.copyOf(builder.environment());
        builder.environment().clear();
        for (String kept : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
            if (caller.containsKey(kept)) {
                builder.environment().put(kept, caller.get(kept));
            }
        }
        builder.environment().put(Wire.BOOT, boot.toString());
        builder.redirectErrorStream(true);
        process = builder.start();
        Path log = folder.resolve(name + ".log");
        InputStream output = process.getInputStream();
        Threads.daemon(() -> collect(output, log)).start();
    }

    private void collect(InputStream output, Path log) {
        byte[] buffer = new byte[4096];
        try (var file = Files.newOutputStream(log)) {
            while (true) {
                while (outputUnread) {
                    Threads.sleep(20);
                }
                int read = output.read(buffer);
                if (read < 0) {
                    return;
                }
                file.write(buffer, 0, read);
                file.flush();
            }
        } catch (IOException | RuntimeException e) {
            // The process has ended.
        }
    }

    private String settings(String storeAddress, String seeds) {
        return String.join(
                "\n",
                "node = \"" + name + "\"",
                "role = \"endiveholdd\"",
                "machine_class = \"front\"",
                "serves = [\"front\",\"control\"]",
                "ip = \"" + host + "\"",
                "zone = \"" + zone + "\"",
                "region = \"bogota\"",
                "seeds = [" + seeds + "]",
                "bootstrap = true",
                "discovery = \"platform\"",
                "entry = \"vip\"",
                "heartbeat_ms = 1200",
                "[listen]",
                "front = \"" + host + ":" + callers + "\"",
                "readiness = \"" + host + ":" + readiness + "\"",
                "control = \"" + host + ":" + control + "\"",
                "[limits]",
                "cpu_share = 0.75",
                "cores = 1",
                "memory_mb = 430",
                "max_fds = 4100",
                "[bounds]",
                "drain_ms = 2000",
                "grace_s = 8",
                "retry_budget_ratio = 0.2",
                "budget_window_s = 10",
                "budget_slack = 104",
                "cold_overage = 1.5",
                "cold_slack = 5",
                "[platform]",
                "address = \"" + storeAddress + "\"",
                "form = \"kv\"",
                "writes_per_s = 400",
                "reads_per_s = 2000",
                "ttl_min_ms = 1000",
                "");
    }

    /** Asks once whether the daemon is ready, as the platform does. */
    boolean ready() {
        try (Client client = new Client(host, readiness)) {
            client.send("GET", "/readiness", Map.of("Host", host), new byte[0]);
            return client.read(1_000).served();
        } catch (IOException e) {
            return false;
        }
    }

    boolean waitReady(long millis) {
        long end = System.nanoTime() / 1_000_000 + millis;
        while (System.nanoTime() / 1_000_000 < end) {
            if (ready()) {
                return true;
            }
            Threads.sleep(100);
        }
        return false;
    }

    boolean alive() {
        return process != null && process.isAlive();
    }

    int exitStatus() {
        return process.exitValue();
    }

    /** Waits for the end of the process; ends it when the time is over, as the platform does. */
    void waitExit(long millis) {
        try {
            if (!process.waitFor(millis, TimeUnit.MILLISECONDS)) {
                kill();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends SIGTERM. */
    void terminate() {
        process.destroy();
    }

    /** Ends the process and waits for its end. */
    void kill() {
        if (process != null) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
