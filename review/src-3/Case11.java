import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Resumable streams have begun; then their machine is partitioned from all servers for seconds, and hands the rest of
 * the streams to another machine. Meanwhile two of the 14 servers fail a part of their requests with status 500.
 */
final class Case11 {
    private static final int ROUNDS = 3;
    private static final int STREAMS = 60;
    private static final int SERVERS = 14;
    /** 14 in 100 of the servers fail. */
    private static final int FAILING = 2;
    /** Largest part of its requests that a failing server fails. */
    private static final double FAILED_SHARE = 0.45;

    private static final int GREY_MILLIS = 6_500;
    private static final int CUT_MILLIS = 4_000;
    private static final int EVENTS = 40;
    private static final int EVENT_MILLIS = 100;
    private static final int ROUTE_TIMEOUT_MILLIS = 10_000;
    private static final int DEADLINE_MILLIS = 15_000;
    /** The rule's slack: no answer half a second after the route's time-out. */
    private static final int SLACK_MILLIS = 500;
    /** Where clients abandon a stream: a gap of four times the objective of 3 s. */
    private static final int PATIENCE_MILLIS = 12_000;
    /** The rule counts from eight such requests on. */
    private static final int LEAST = 8;

    private final Harness harness;
    private final List<Engine> engines = new ArrayList<>();
    private final AtomicInteger overTime = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();
    /** Servers that are asked to go on with a stream in this round; the first of them fail a part of their requests. */
    private final AtomicInteger failing = new AtomicInteger();
    private volatile boolean grey;

    private Case11(Harness harness) {
        this.harness = harness;
    }

    public static void main(String[] args) {
        Harness.main(args, harness -> new Case11(harness).run());
    }

    /** A server; it serves a stream, or fails a part of the requests if it is one that fails now. */
    private final class Engine {
        private final String id;
        private boolean fails;
        private int arrived;
        private int failed;

        Engine(String id) {
            this.id = id;
        }

        private synchronized boolean fails(boolean resumed) {
            if (!grey) {
                return false;
            }
            arrived++;
            if (resumed && !fails && failing.incrementAndGet() <= FAILING) {
                fails = true;
            }
            boolean fail = resumed && fails && failed + 1 <= FAILED_SHARE * arrived;
            failed += fail ? 1 : 0;
            return fail;
        }

        private synchronized void begin() {
            arrived = 0;
            failed = 0;
            fails = false;
        }

        private synchronized void report() {
            if (fails) {
                harness.log(id + " failed " + failed + " of " + arrived + " requests");
            }
        }

        void answer(Harness.Head request, OutputStream out) throws IOException, InterruptedException {
            String attempt = request.fields.get(Names.ATTEMPT);
            int after = Integer.parseInt(request.fields.getOrDefault(Names.LAST, "0"));
            String sealed = Names.ATTEMPT + ": " + attempt + "\r\n" + Names.SEAL + ": " + id + "."
                    + attempt + "\r\n";
            if (fails(after > 0)) {
                String error = "{\"error\":\"failed\"}";
                harness.log(id + " runs " + attempt + " after event " + after + ", and answers 500");
                write(
                        out,
                        "HTTP/1.1 500 Internal Server Error\r\n" + sealed
                                + "Content-Type: application/json\r\nContent-Length: " + error.length() + "\r\n\r\n"
                                + error);
                return;
            }
            harness.log(id + " runs " + attempt + " after event " + after);
            write(
                    out,
                    "HTTP/1.1 200 OK\r\n" + sealed
                            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (int i = after + 1; i <= EVENTS; i++) {
                String event = "id: " + i + "\ndata: piece-" + i + "\n\n";
                write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
                Thread.sleep(EVENT_MILLIS);
            }
            write(out, "0\r\n\r\n");
        }
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    private int run() throws Exception {
        Store store = new Store();
        store.put(Names.CONFIGURATION, Platform.configuration(7, ",\"stream_resume\":true"));
        Map<String, String> fromA = new HashMap<>();
        List<Harness.Proxy> paths = new ArrayList<>();
        for (int i = 1; i <= SERVERS; i++) {
            Engine engine = new Engine("i-" + i);
            engines.add(engine);
            InetSocketAddress address =
                    Harness.server("127.0.0.1", (head, body, out, connection) -> engine.answer(head, out));
            Harness.Proxy path = new Harness.Proxy("127.0.0.1", address);
            paths.add(path);
            fromA.put("\"" + Platform.text(address) + "\"", "\"" + Platform.text(path.address) + "\"");
            store.put(Names.SERVERS + "i-" + i, Platform.server("engines", "bogota-a", address, 16, 1_000 + i, "ready"));
        }
        int control = Harness.freePort(harness.host(2));
        List<String> seeds = List.of(harness.host(2) + ":" + control);
        InetSocketAddress storeA = store.open("127.0.0.1", fromA);
        InetSocketAddress storeB = store.open("127.0.0.1", Map.of());
        Harness.Daemon a = harness.daemon("front-bogota-a-1", harness.host(2), "bogota-a", storeA, seeds, control);
        Harness.Daemon b = harness.daemon(
                "front-bogota-b-1", harness.host(3), "bogota-b", storeB, seeds, Harness.freePort(harness.host(3)));
        if (!harness.awaitReady(List.of(a, b), 20)) {
            return Harness.NOT_RUN;
        }
        Thread.sleep(4_000);
        for (int round = 1; round <= ROUNDS; round++) {
            round(a, paths, round);
        }
        harness.logLines(a, "xception");
        harness.log("streams that had no final answer at their route's time-out: " + overTime.get()
                + "; half a second later: " + unanswered.get());
        boolean broken = unanswered.get() >= LEAST && unanswered.get() > overTime.get() / 2;
        return broken ? Harness.BROKEN : Harness.HELD;
    }

    private void round(Harness.Daemon a, List<Harness.Proxy> paths, int round) throws Exception {
        List<Thread> clients = new ArrayList<>();
        engines.forEach(Engine::begin);
        failing.set(0);
        grey = harness.trouble;
        long greyUntil = System.nanoTime() + GREY_MILLIS * 1_000_000L;
        for (int i = 0; i < STREAMS; i++) {
            String attempt = String.format("%d%02d41d07be2a35f6", round, i);
            Thread client = Harness.daemonThread(() -> stream(a, attempt));
            client.start();
            clients.add(client);
            Thread.sleep(1_500 / STREAMS);
        }
        Thread.sleep(500);
        if (harness.trouble) {
            harness.log("round " + round + ": " + a.name + " is partitioned from all servers");
            for (Harness.Proxy path : paths) {
                path.cut();
            }
            Thread.sleep(CUT_MILLIS);
            for (Harness.Proxy path : paths) {
                path.heal();
            }
            harness.log("round " + round + ": the partition has ended");
        }
        Thread.sleep(Math.max(0, (greyUntil - System.nanoTime()) / 1_000_000));
        grey = false;
        engines.forEach(Engine::report);
        for (Thread client : clients) {
            client.join();
        }
        Thread.sleep(4_000);
    }

    /** Sends one request, and counts it if it has no final answer in time. */
    private void stream(Harness.Daemon a, String attempt) {
        long sentAt = System.nanoTime();
        String outcome;
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try (Harness.Client client = new Harness.Client(a.host, a.front)) {
            client.send(Platform.request(
                    "POST",
                    "/stream/2f",
                    attempt,
                    DEADLINE_MILLIS,
                    "p".repeat(1_200),
                    Names.MODEL + ": m",
                    Names.TOKENS + ": 4960,1300",
                    Names.PREFIX + ": 5c1e07a2:40,91bd" + attempt.substring(0, 4) + ":4920"));
            Harness.Head head = client.readHead(PATIENCE_MILLIS);
            outcome = head.status + " " + client.readBody(head, PATIENCE_MILLIS, body);
        } catch (IOException e) {
            outcome = e.toString();
        }
        long millis = (System.nanoTime() - sentAt) / 1_000_000;
        overTime.addAndGet(millis > ROUTE_TIMEOUT_MILLIS ? 1 : 0);
        unanswered.addAndGet(millis > ROUTE_TIMEOUT_MILLIS + SLACK_MILLIS ? 1 : 0);
        String text = body.toString(StandardCharsets.ISO_8859_1);
        harness.log("client of " + attempt + ": " + outcome + " after " + millis + " ms, last event "
                + text.substring(text.lastIndexOf("piece-") < 0 ? 0 : text.lastIndexOf("piece-")).trim());
    }
}
