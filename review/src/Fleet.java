import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;

/** A small deployment on loopback addresses: a store, servers, daemons and the configuration of fmsi-enrutador. */
final class Fleet {
    static final String KEY = "n2ctnfzs989anu6wsjnb";
    static final String HOST = "ficu95.example";
    /** The plain service. */
    static final String SERVICE = "portal-afiliados";
    /** The service of the engines. */
    static final String ENGINES = "asistente-salud";
    /** Deadline of the clients of the plain routes, and their routes' timeout, in milliseconds. */
    static final int DEADLINE_MILLIS = 2_500;

    static final int TIMEOUT_MILLIS = 1_200;

    private static final int FIRST_DAEMON = 10;
    private static final int FIRST_SERVER = 100;
    private static final int FIRST_ENGINE = 150;

    final Store store;
    final Path folder;
    final Path repository;
    final List<Daemon> daemons = new ArrayList<>();
    final List<Server> servers = new ArrayList<>();
    final List<Server> engines = new ArrayList<>();
    /** How often each request was run by a server. */
    final Map<String, AtomicLong> runs = new ConcurrentHashMap<>();
    /** When each request last reached a server that ran it, in milliseconds of the JVM's clock. */
    final Map<String, Long> reachedAt = new ConcurrentHashMap<>();

    /** Loopback addresses of this run: daemons serve their metrics at a fixed port, so runs side by side need different ones. */
    private final String network = "127." + ThreadLocalRandom.current().nextInt(64, 192) + "."
            + ThreadLocalRandom.current().nextInt(1, 250) + ".";

    private final AtomicLong ids = new AtomicLong(System.nanoTime());

    Fleet(Path repository) throws IOException {
        this.repository = repository.toAbsolutePath().normalize();
        folder = Files.createTempDirectory("endivehold-review");
        store = new Store(network + 1);
        store.put(Wire.CONFIGURATION, configuration(1));
    }

    static String configuration(int version) {
        return "{\"version\":" + version + ",\"routes\":["
                + "{\"name\":\"pago-auxilio\",\"host\":\"" + HOST + "\",\"path_prefix\":\"/pago/\",\"kind\":\"unsafe\","
                + "\"timeout_ms\":" + TIMEOUT_MILLIS + ",\"target_latency_ms\":150,\"priority\":2,\"service\":\""
                + SERVICE + "\",\"max_attempts\":1,\"public\":false,\"sticky_sessions\":false},"
                + "{\"name\":\"saldo-aportes\",\"host\":\"" + HOST + "\",\"path_prefix\":\"/saldo/\",\"kind\":\"safe\","
                + "\"timeout_ms\":" + TIMEOUT_MILLIS + ",\"target_latency_ms\":150,\"priority\":2,\"service\":\""
                + SERVICE + "\",\"max_attempts\":2,\"public\":false,\"sticky_sessions\":false},"
                + "{\"name\":\"consulta-afiliado\",\"host\":\"" + HOST + "\",\"path_prefix\":\"/consulta/\","
                + "\"kind\":\"streaming\",\"timeout_ms\":10000,\"target_latency_ms\":300,\"priority\":1,\"service\":\""
                + ENGINES + "\",\"max_attempts\":2,\"public\":false,\"sticky_sessions\":true,\"stream_resume\":true,"
                + "\"gap_target_ms\":250}],"
                + "\"services\":[{\"name\":\"" + SERVICE + "\",\"health_check_path\":\"/health\","
                + "\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0},"
                + "{\"name\":\"" + ENGINES + "\",\"health_check_path\":\"/health\",\"max_connections\":434,"
                + "\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":3.0,\"cold_per_s\":36.0,\"engine\":{\"slots\":11,"
                + "\"kv_capacity_tokens\":405000,\"kv_token_bytes\":163840,\"link_mbps\":400000.0,\"stride\":34,"
                + "\"models\":[{\"name\":\"m\"}],\"step_ms\":1.31,\"per_seq_ms\":0.00133,\"context_per_k\":0.00213,"
                + "\"read_per_s\":154000.0,\"pairs_per_m\":0.162,\"chunk\":2048,\"report_lag_ms\":200.0}}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000},"
                + "\"tenants\":[{\"name\":\"hule930\",\"api_keys\":[\"" + KEY + "\"],\"priority\":1}]}";
    }

    /** Adds a server that runs requests soundly, and registers it. */
    Server addServer(String id, String zone, long workMillis) throws IOException {
        Server server = new Server(id, network + (FIRST_SERVER + servers.size()), sound(workMillis));
        servers.add(server);
        store.put("servers/" + id, server.entry(SERVICE, zone, 6, "ready"));
        return server;
    }

    /** Adds an engine that answers with a stream of events, and registers it. */
    Server addEngine(String id, String zone, int events, long pauseMillis) throws IOException {
        Server engine = new Server(id, network + (FIRST_ENGINE + engines.size()), stream(events, pauseMillis));
        engines.add(engine);
        store.put("servers/" + id, engine.entry(ENGINES, zone, 11, "ready"));
        return engine;
    }

    /** Returns a handler that runs each request, counts it and answers with a stream of events in chunks. */
    Server.Handler stream(int events, long pauseMillis) {
        return (request, out) -> {
            countRun(request);
            Server.beginStream(request, out);
            int first = 1 + Integer.parseInt(request.headers().getOrDefault(Wire.key(Wire.LAST_EVENT), "0"));
            for (int id = first; id <= events; id++) {
                Threads.sleep(pauseMillis);
                Server.chunk(out, "id: " + id + "\ndata: " + "t".repeat(50) + "\n\n");
            }
            Server.chunk(out, "");
            return true;
        };
    }

    /** Returns a handler that runs each request, counts it and answers with 800 bytes. */
    Server.Handler sound(long workMillis) {
        return (request, out) -> {
            countRun(request);
            return Server.answer(request, out, workMillis, new byte[800]);
        };
    }

    long runCount(String request) {
        AtomicLong count = runs.get(request);
        return count == null ? 0 : count.get();
    }

    void countRun(Server.Request request) {
        reachedAt.put(request.id(), System.nanoTime() / 1_000_000);
        runs.computeIfAbsent(request.id(), id -> new AtomicLong()).incrementAndGet();
    }

    Daemon addDaemon(String zone) throws IOException {
        int number = daemons.size() + 1;
        Daemon daemon = new Daemon("front-" + zone + "-" + number, network + (FIRST_DAEMON + number), zone, folder);
        daemons.add(daemon);
        return daemon;
    }

    /** Starts all daemons and waits until they are ready. */
    void start() throws IOException {
        for (Daemon daemon : daemons) {
            daemon.start(repository, store.address(), daemons.subList(0, Math.min(3, daemons.size())));
        }
        for (Daemon daemon : daemons) {
            if (!daemon.waitReady(30_000)) {
                throw new IOException(daemon.name + " is not ready");
            }
        }
    }

    String nextId() {
        return String.format("%016x", ids.incrementAndGet());
    }

    /** Returns the headers that a client sends with a request of a plain route. */
    static Map<String, String> headers(String id) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", HOST);
        headers.put(Wire.ATTEMPT, id);
        headers.put(Wire.DEADLINE, Integer.toString(DEADLINE_MILLIS));
        headers.put(Wire.API_KEY, KEY);
        return headers;
    }

    /** Returns the headers that a client sends with a request of the streaming route. */
    static Map<String, String> streamHeaders(String id) {
        Map<String, String> headers = headers(id);
        headers.put(Wire.DEADLINE, "10000");
        headers.put(Wire.MODEL, "m");
        headers.put(Wire.TOKENS, "4960,1300");
        headers.put(Wire.PREFIX, "5c1e07a2:40," + id + ":4920");
        return headers;
    }

    /** Sends one request on a new connection and reads its answer. */
    Client.Answer call(Daemon daemon, String method, String path, String id, byte[] body, long limitMillis) {
        try (Client client = new Client(daemon.host, daemon.callers)) {
            client.send(method, path, headers(id), body);
            return client.read(limitMillis);
        } catch (IOException e) {
            return new Client.Answer(0, false, Map.of(), new byte[0], "not connected or not sent: " + e.getMessage());
        }
    }

    void stop() {
        daemons.forEach(Daemon::kill);
        store.stop();
        if (System.getenv("KEEP") != null) {
            System.out.println("kept: " + folder);
            return;
        }
        for (java.io.File file : Set.of(folder.toFile().listFiles())) {
            file.delete();
        }
        folder.toFile().delete();
    }
}
