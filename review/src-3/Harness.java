import java.io.BufferedWriter;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** Starts daemons by the deploy file's command, and has what the scripts share: servers, clients, proxies, the record. */
final class Harness implements Closeable {
    static final int BROKEN = 1;
    static final int HELD = 0;
    static final int NOT_RUN = 2;

    private final Path root;
    private final Path folder;
    private final Path temporary;
    private final BufferedWriter record;
    private final long startedAt = System.nanoTime();
    private final List<Process> processes = new ArrayList<>();

    /** Whether the disruption happens. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    /** Second and third number of the daemons' addresses: the metrics port is fixed, so each run has its own. */
    private final int network = 256 + (int) (ProcessHandle.current().pid() % 65_000);

    /** Creates it for the case in {@code args[0]}, a folder; {@code args[1]} is the repository. */
    Harness(String[] args) throws IOException {
        folder = Path.of(args[0]).toAbsolutePath();
        root = Path.of(args[1]).toAbsolutePath();
        temporary = Files.createTempDirectory("review-3-");
        record = Files.newBufferedWriter(folder.resolve("record.txt"));
        log("trouble: " + trouble);
    }

    static Thread daemonThread(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        return thread;
    }

    static void start(Work work) {
        daemonThread(() -> {
                    try {
                        work.run();
                    } catch (IOException | InterruptedException e) {
                        // The other side has gone, which the record of the case shows.
                    }
                })
                .start();
    }

    /** Work on a thread of its own. */
    interface Work {
        void run() throws IOException, InterruptedException;
    }

    synchronized void log(String line) {
        try {
            record.write(String.format(Locale.ROOT, "%8.3f %s%n", (System.nanoTime() - startedAt) / 1e9, line));
            record.flush();
        } catch (IOException e) {
            System.err.println("record: " + e);
        }
    }

    /** What a case does; returns whether the rule was broken, see {@link #BROKEN}. */
    interface Script {
        int run(Harness harness) throws Exception;
    }

    /** Runs a case and ends this process with its result; ends the daemons in any case. */
    static void main(String[] args, Script script) {
        int result = NOT_RUN;
        try (Harness harness = new Harness(args)) {
            Runtime.getRuntime().addShutdownHook(new Thread(harness::endProcesses));
            try {
                result = script.run(harness);
            } catch (Exception e) {
                harness.log("the case couldn't run: " + e);
            }
            harness.log("result: " + result);
        } catch (IOException e) {
            System.err.println("record: " + e);
        }
        System.exit(result);
    }

    private void endProcesses() {
        processes.forEach(Process::destroyForcibly);
    }

    /** A daemon process. */
    static final class Daemon {
        String name;
        String host;
        int front;
        int readiness;
        int control;
        Process process;
        Path output;

        boolean ready() {
            try (Client client = new Client(host, readiness)) {
                client.send("GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
                return client.readHead(1_000).status == 200;
            } catch (IOException e) {
                return false;
            }
        }

        /** Returns the process's resident memory, in MiB. */
        long residentMiB() throws IOException {
            for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
                if (line.startsWith("VmRSS:")) {
                    return Long.parseLong(line.replaceAll("[^0-9]", "")) / 1024;
                }
            }
            return 0;
        }
    }

    /** Starts a daemon of a small deployment at an address of its own. */
    Daemon daemon(String name, String host, String zone, InetSocketAddress store, List<String> seeds, int control)
            throws IOException {
        Daemon daemon = new Daemon();
        daemon.name = name;
        daemon.host = host;
        daemon.front = freePort(host);
        daemon.readiness = freePort(host);
        daemon.control = control;
        Path settings = temporary.resolve(name + ".toml");
        List<String> quoted = seeds.stream().map(seed -> "\"" + seed + "\"").toList();
        Files.writeString(
                settings,
                String.join(
                        "\n",
                        "node = \"" + name + "\"",
                        "role = \"endiveholdd\"",
                        "machine_class = \"front\"",
                        "serves = [\"front\",\"control\"]",
                        "ip = \"" + host + "\"",
                        "zone = \"" + zone + "\"",
                        "region = \"bogota\"",
                        "seeds = [" + String.join(",", quoted) + "]",
                        "bootstrap = true",
                        "[zones]",
                        "bogota-a = \"bogota\"",
                        "bogota-b = \"bogota\"",
                        "[listen]",
                        "front = \"" + host + ":" + daemon.front + "\"",
                        "readiness = \"" + host + ":" + daemon.readiness + "\"",
                        "control = \"" + host + ":" + daemon.control + "\"",
                        "[limits]",
                        "cpu_share = 0.75",
                        "cores = 1",
                        "memory_mb = 430",
                        "max_fds = 4100",
                        "link_mbps = 1000.0",
                        "[bounds]",
                        "seed_lag_s = 3",
                        "reuse_after_s = 2",
                        "stable_window_ms = 3000",
                        "drain_ms = 2000",
                        "grace_s = 8",
                        "loss_slack_ms = 200",
                        "config_apply_ms = 2000",
                        "retry_budget_ratio = 0.2",
                        "budget_window_s = 10",
                        "budget_slack = 104",
                        "cold_overage = 1.5",
                        "cold_slack = 5",
                        "[platform]",
                        "address = \"" + store.getAddress().getHostAddress() + ":" + store.getPort() + "\"",
                        "form = \"kv\"",
                        "value_bytes = 1048576",
                        "ttl_min_ms = 1000",
                        ""));
        ProcessBuilder builder = new ProcessBuilder(deployCommand()).directory(root.toFile());
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put(Names.SETTINGS, settings.toString());
        daemon.output = temporary.resolve(name + ".log");
        builder.redirectErrorStream(true).redirectOutput(daemon.output.toFile());
        daemon.process = builder.start();
        processes.add(daemon.process);
        log("daemon " + name + " started, pid " + daemon.process.pid() + ", clients " + host + ":" + daemon.front);
        return daemon;
    }

    /** Returns the words of the deploy file's run command. */
    private List<String> deployCommand() throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith("run = ")) {
                return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" +"));
            }
        }
        throw new IOException("deploy/system.toml has no run command");
    }

    /** Waits until all daemons are ready; returns whether they are. */
    boolean awaitReady(List<Daemon> daemons, int seconds) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        for (Daemon daemon : daemons) {
            while (!daemon.ready()) {
                if (System.nanoTime() > until) {
                    log("daemon " + daemon.name + " isn't ready");
                    return false;
                }
                Thread.sleep(100);
            }
        }
        log("all daemons are ready");
        return true;
    }

    /** Returns the loopback address of machine {@code number}, from 1 to 254. */
    String host(int number) {
        return "127." + network / 256 + "." + network % 256 + "." + number;
    }

    static int freePort(String host) throws IOException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(host, 0));
            return socket.getLocalPort();
        }
    }

    /** Copies the lines of a daemon's log that contain one of some words into the record. */
    void logLines(Daemon daemon, String... words) throws IOException {
        if (!Files.exists(daemon.output)) {
            return;
        }
        for (String line : Files.readAllLines(daemon.output)) {
            for (String word : words) {
                if (line.contains(word)) {
                    log(daemon.name + "| " + line);
                    break;
                }
            }
        }
    }

    @Override
    public void close() throws IOException {
        endProcesses();
        for (Process process : processes) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        record.close();
        File[] files = temporary.toFile().listFiles();
        if (files != null) {
            for (File file : files) {
                Files.deleteIfExists(file.toPath());
            }
        }
        Files.deleteIfExists(temporary);
    }

    /** The head of a request or a response. */
    static final class Head {
        String firstLine;
        int status;
        final Map<String, String> fields = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);

        String path() {
            return firstLine.split(" ")[1];
        }

        int length() {
            return Integer.parseInt(fields.getOrDefault("Content-Length", "0"));
        }
    }

    static Head readHead(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int state = 0;
        while (state < 4) {
            int next = in.read();
            if (next < 0) {
                throw new EOFException("the connection ended after " + bytes.size() + " bytes of a head");
            }
            bytes.write(next);
            boolean fits = next == (state % 2 == 0 ? '\r' : '\n');
            state = fits ? state + 1 : next == '\r' ? 1 : 0;
        }
        String[] lines = bytes.toString(StandardCharsets.ISO_8859_1).split("\r\n");
        Head head = new Head();
        head.firstLine = lines[0];
        if (lines[0].startsWith("HTTP/")) {
            head.status = Integer.parseInt(lines[0].split(" ")[1]);
        }
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            head.fields.put(lines[i].substring(0, colon), lines[i].substring(colon + 1).trim());
        }
        return head;
    }

    /** Answers the requests of a server stand-in. */
    interface Answers {
        /** Answers one request; the connection is closed afterwards. */
        void answer(Head request, byte[] body, OutputStream out, Socket connection)
                throws IOException, InterruptedException;
    }

    /** Starts a server that reads one request on each connection. */
    static InetSocketAddress server(String host, Answers answers) throws IOException {
        ServerSocket listening = new ServerSocket();
        listening.bind(new InetSocketAddress(host, 0), 256);
        start(() -> {
            while (true) {
                Socket connection = listening.accept();
                start(() -> {
                    try (connection) {
                        connection.setTcpNoDelay(true);
                        Head head = readHead(connection.getInputStream());
                        byte[] body = connection.getInputStream().readNBytes(head.length());
                        answers.answer(head, body, connection.getOutputStream(), connection);
                        connection.getOutputStream().flush();
                    }
                });
            }
        });
        return (InetSocketAddress) listening.getLocalSocketAddress();
    }

    /** A proxy for TCP connections that can cut the path: open connections are reset, and new ones refused. */
    static final class Proxy {
        final InetSocketAddress address;
        private final InetSocketAddress target;
        private final List<Socket> open = new ArrayList<>();
        private ServerSocket listening;
        private boolean cut;

        Proxy(String host, InetSocketAddress target) throws IOException {
            this.target = target;
            listen(new InetSocketAddress(host, 0));
            address = (InetSocketAddress) listening.getLocalSocketAddress();
        }

        private void listen(InetSocketAddress at) throws IOException {
            ServerSocket socket = new ServerSocket();
            socket.setReuseAddress(true);
            socket.bind(at, 256);
            listening = socket;
            start(() -> {
                while (true) {
                    Socket near = socket.accept();
                    start(() -> connect(near));
                }
            });
        }

        private void connect(Socket near) throws IOException {
            Socket far = new Socket();
            synchronized (this) {
                open.add(near);
                open.add(far);
                if (cut) {
                    reset(near);
                    return;
                }
            }
            far.connect(target, 1_000);
            near.setTcpNoDelay(true);
            far.setTcpNoDelay(true);
            start(() -> copy(near, far));
            start(() -> copy(far, near));
        }

        private static void copy(Socket from, Socket to) throws IOException {
            byte[] bytes = new byte[16_384];
            try (from;
                    to) {
                int length = from.getInputStream().read(bytes);
                while (length >= 0) {
                    to.getOutputStream().write(bytes, 0, length);
                    to.getOutputStream().flush();
                    length = from.getInputStream().read(bytes);
                }
            }
        }

        synchronized void cut() throws IOException {
            cut = true;
            listening.close();
            open.forEach(Proxy::reset);
            open.clear();
        }

        synchronized void heal() throws IOException {
            cut = false;
            listen(address);
        }

        private static void reset(Socket socket) {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                // It was closed before.
            }
        }
    }

    /** A client's connection. */
    static final class Client implements Closeable {
        final Socket socket = new Socket();
        final InputStream in;

        Client(String host, int port) throws IOException {
            socket.connect(new InetSocketAddress(host, port), 1_000);
            socket.setTcpNoDelay(true);
            in = new java.io.BufferedInputStream(socket.getInputStream());
        }

        void send(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
        }

        Head readHead(int millis) throws IOException {
            socket.setSoTimeout(millis);
            return Harness.readHead(in);
        }

        /** How a body ended. */
        enum End {
            COMPLETE,
            BROKEN_OFF,
            SILENT
        }

        /** Reads a body to its end and adds its bytes to {@code body}. */
        End readBody(Head head, int silenceMillis, ByteArrayOutputStream body) throws IOException {
            socket.setSoTimeout(silenceMillis);
            try {
                if (!"chunked".equalsIgnoreCase(head.fields.get("Transfer-Encoding"))) {
                    int length = head.length();
                    byte[] bytes = in.readNBytes(length);
                    body.writeBytes(bytes);
                    return bytes.length == length ? End.COMPLETE : End.BROKEN_OFF;
                }
                while (true) {
                    int size = Integer.parseInt(line().trim(), 16);
                    byte[] chunk = in.readNBytes(size);
                    body.writeBytes(chunk);
                    line();
                    if (size == 0) {
                        return End.COMPLETE;
                    }
                }
            } catch (SocketTimeoutException e) {
                return End.SILENT;
            } catch (IOException | NumberFormatException e) {
                return End.BROKEN_OFF;
            }
        }

        private String line() throws IOException {
            StringBuilder line = new StringBuilder();
            int next = in.read();
            while (next != '\n') {
                if (next < 0) {
                    throw new EOFException();
                }
                line.append((char) next);
                next = in.read();
            }
            return line.toString();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
