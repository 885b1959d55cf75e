import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The daemons of a case: processes that run the command of the deploy file, each on a loopback address of its own. */
final class Daemons {
    private static final long RESTART_DELAY_MILLIS = 1_000;

    private final Path folder;
    private volatile boolean stopped;
    private final List<Daemon> all = new ArrayList<>();

    /** One daemon; it may be started again with the same settings. */
    final class Daemon {
        final String name;
        final String host;
        final int front;
        final int readiness;
        final int control;
        private final Path boot;
        private final Path log;
        Process process;

        Daemon(String name, String host) throws IOException {
            this.name = name;
            this.host = host;
            front = freePort(host);
            readiness = freePort(host);
            control = freePort(host);
            boot = folder.resolve(name + ".toml");
            log = folder.resolve(name + ".log");
        }

        void start() throws IOException {
            ProcessBuilder builder = new ProcessBuilder(command());
            Map<String, String> environment = builder.environment();
            environment.put(Wire.BOOT, boot.toString());
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            process = builder.start();
        }

        void signal(String signal) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).inheritIO().start().waitFor();
        }

        boolean ready() {
            try (Socket socket = new Socket(host, readiness)) {
                socket.setSoTimeout(1_000);
                socket.getOutputStream().write("GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n".getBytes());
                Http.Message answer = Http.read(socket.getInputStream(), true);
                return answer != null && answer.status() == 200;
            } catch (IOException e) {
                return false;
            }
        }
    }

    /** Starts daemons again that have ended, as the platform does, after a short delay; tells of each. */
    void restartThoseThatEnd(Consumer<String> ended) {
        Http.daemonThread(
                () -> {
                    while (!stopped) {
                        Waiting.sleep(200);
                        all.stream()
                                .filter(daemon -> !stopped && !daemon.process.isAlive())
                                .forEach(daemon -> restart(daemon, ended));
                    }
                },
                "restarts");
    }

    private void restart(Daemon daemon, Consumer<String> ended) {
        ended.accept(daemon.name + " has ended by itself with status " + daemon.process.exitValue());
        Waiting.sleep(RESTART_DELAY_MILLIS);
        try {
            daemon.start();
        } catch (IOException e) {
            ended.accept(daemon.name + " cannot be started again: " + e.getMessage());
        }
    }

    /** Creates the settings of some daemons; the store has an address for each. */
    Daemons(Store store, int count) throws IOException {
        folder = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::end));
        for (int i = 0; i < count; i++) {
            all.add(new Daemon("front-" + (i + 1), "127.0.0." + (11 + i)));
        }
        for (int i = 0; i < count; i++) {
            Files.writeString(all.get(i).boot, settings(all.get(i), store.address(i)));
        }
    }

    Daemon get(int index) {
        return all.get(index);
    }

    List<Daemon> all() {
        return all;
    }

    Path folder() {
        return folder;
    }

    void startAll() throws IOException {
        for (Daemon daemon : all) {
            daemon.start();
        }
    }

    boolean awaitReady(long millis) {
        return Waiting.until(millis, () -> all.stream().allMatch(Daemon::ready));
    }

    void end() {
        stopped = true;
        for (Daemon daemon : all) {
            if (daemon.process != null) {
                daemon.process.destroyForcibly();
                try {
                    daemon.process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    return;
                }
            }
        }
    }

    static int freePort(String host) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return socket.getLocalPort();
        }
    }

    private static List<String> command() throws IOException {
        Matcher run = Pattern.compile("^run = \"(.*)\"$", Pattern.MULTILINE)
                .matcher(Files.readString(new File("deploy/system.toml").toPath()));
        if (!run.find()) {
            throw new IOException("no command in the deploy file");
        }
        return Arrays.asList(run.group(1).split(" "));
    }

    private String settings(Daemon daemon, String store) {
        List<String> seeds = all.stream()
                .limit(3)
                .map(each -> "\"" + each.host + ":" + each.control + "\"")
                .toList();
        return String.join(
                "\n",
                "node = \"" + daemon.name + "\"",
                "role = \"endiveholdd\"",
                "machine_class = \"front\"",
                "serves = [\"front\",\"control\"]",
                "ip = \"" + daemon.host + "\"",
                "zone = \"bogota-a\"",
                "region = \"bogota\"",
                "internal_ports = [7340,7355]",
                "seeds = [" + String.join(",", seeds) + "]",
                "bootstrap = true",
                "loss_counts = false",
                "discovery = \"platform\"",
                "entry = \"vip\"",
                "heartbeat_ms = 1200",
                "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\","
                        + "\"places\",\"platform\",\"spans\"]",
                "[zones]",
                "bogota-a = \"bogota\"",
                "[listen]",
                "front = \"" + daemon.host + ":" + daemon.front + "\"",
                "readiness = \"" + daemon.host + ":" + daemon.readiness + "\"",
                "control = \"" + daemon.host + ":" + daemon.control + "\"",
                "[limits]",
                "cpu_share = 0.75",
                "cores = 1",
                "memory_mb = 430",
                "max_fds = 4100",
                "link_mbps = 1000.0",
                "disk_mb = 0",
                "[tolerate]",
                "machines = 1",
                "zones = 1",
                "regions = 0",
                "[bounds]",
                "seed_lag_s = 3",
                "reuse_after_s = 2",
                "stable_window_ms = 3000",
                "ack_timeout_ms = 4000",
                "catch_up_s = 4",
                "drain_ms = 2000",
                "grace_s = 8",
                "loss_slack_ms = 200",
                "config_apply_ms = 2000",
                "rollback_slack_ms = 250",
                "outer_bound_ms = 5000",
                "fail_closed = false",
                "revoke_ms = 5000",
                "retry_budget_ratio = 0.2",
                "budget_window_s = 10",
                "budget_slack = 104",
                "cold_overage = 1.5",
                "cold_slack = 5",
                "evacuate_ms = 5000",
                "recovery_s = 12",
                "pass_ms = 120",
                "retry_after_s = 0",
                "stall_ms = 1500",
                "max_hold_ms = 20000",
                "free_ms = 4000",
                "idle_max_ms = 9000",
                "[platform]",
                "address = \"" + store + "\"",
                "form = \"kv\"",
                "writes_per_s = 400",
                "reads_per_s = 2000",
                "history_s = 20",
                "value_bytes = 1048576",
                "ttl_min_ms = 1000",
                "");
    }
}
