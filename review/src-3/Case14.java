import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** The store cuts watches that wait; a server leaves by removing its entry, and goes on serving for some seconds. */
final class Case14 {
    /** Longest wait of a watch that the store doesn't cut. */
    private static final int WATCH_CUT_MILLIS = 1_000;

    private static final int DRAIN_MILLIS = 2_000;
    /** Time for which the server serves after the store has accepted its leaving. */
    private static final int LINGER_MILLIS = 7_000;

    private static final int WORK_MILLIS = 300;
    private static final int REQUEST_MILLIS = 50;

    private final Harness harness;
    private final Set<Socket> atLeaving = ConcurrentHashMap.newKeySet();
    private final Map<String, Long> sentAt = new ConcurrentHashMap<>();
    private final AtomicInteger late = new AtomicInteger();
    private final AtomicInteger cut = new AtomicInteger();
    private volatile long removedAt = Long.MAX_VALUE;
    private volatile boolean exited;

    private Case14(Harness harness) {
        this.harness = harness;
    }

    public static void main(String[] args) {
        Harness.main(args, harness -> new Case14(harness).run());
    }

    private int run() throws Exception {
        Store store = new Store();
        store.put(Names.CONFIGURATION, Platform.configuration(7, ",\"stream_resume\":true"));
        for (int i = 1; i <= 3; i++) {
            String id = "p-" + i;
            InetSocketAddress address = Harness.server(
                    "127.0.0.1", (head, body, out, connection) -> serve(id, head, out, connection));
            store.put(Names.SERVERS + id, Platform.server("plain", "bogota-a", address, 6, 1_000 + i, "ready"));
        }
        if (harness.trouble) {
            store.watchCutMillis = WATCH_CUT_MILLIS;
        }
        int control = Harness.freePort(harness.host(2));
        Harness.Daemon a = harness.daemon(
                "front-bogota-a-1",
                harness.host(2),
                "bogota-a",
                store.open("127.0.0.1", Map.of()),
                List.of(harness.host(2) + ":" + control),
                control);
        if (!harness.awaitReady(List.of(a), 20)) {
            return Harness.NOT_RUN;
        }
        Thread.sleep(4_000);
        List<Thread> clients = new ArrayList<>();
        long endAt = System.nanoTime() + 14_000_000_000L;
        for (int i = 0; System.nanoTime() < endAt; i++) {
            if (i == 40) {
                store.remove(Names.SERVERS + "p-1");
                removedAt = System.nanoTime();
                harness.log("the store has accepted the removal of the entry of p-1");
            }
            if (removedAt != Long.MAX_VALUE && !exited && millisSince(removedAt) > LINGER_MILLIS) {
                exited = true;
                harness.log("p-1 exits");
                for (Socket socket : atLeaving) {
                    socket.close();
                }
            }
            String attempt = "at" + i;
            Thread client = Harness.daemonThread(() -> request(a, attempt));
            client.start();
            clients.add(client);
            Thread.sleep(REQUEST_MILLIS);
        }
        for (Thread client : clients) {
            client.join();
        }
        harness.logLines(a, "vanished", "lapsed", "store-lost", "store-regained");
        harness.log("requests sent over " + DRAIN_MILLIS + " ms after the acknowledgement that reached p-1: " + late.get()
                + "; of these without an answer since it exited: " + cut.get());
        return late.get() > 0 ? Harness.BROKEN : Harness.HELD;
    }

    private static long millisSince(long at) {
        return (System.nanoTime() - at) / 1_000_000;
    }

    private void serve(String id, Harness.Head head, java.io.OutputStream out, Socket connection)
            throws IOException, InterruptedException {
        String attempt = head.fields.get(Names.ATTEMPT);
        boolean leaving = id.equals("p-1");
        if (leaving && exited) {
            return;
        }
        boolean isLate = leaving
                && removedAt != Long.MAX_VALUE
                && sentAt.get(attempt) > removedAt + DRAIN_MILLIS * 1_000_000L;
        harness.log(id + " runs " + attempt + (isLate ? ", LATE" : ""));
        if (isLate) {
            late.incrementAndGet();
        }
        if (leaving) {
            atLeaving.add(connection);
        }
        Thread.sleep(WORK_MILLIS);
        if (leaving && exited) {
            cut.addAndGet(isLate ? 1 : 0);
            return;
        }
        out.write(("HTTP/1.1 200 OK\r\n" + Names.ATTEMPT + ": " + attempt
                        + "\r\n" + Names.SEAL + ": " + id + "." + attempt
                        + "\r\n" + Names.LOAD + ": 1,0,6\r\nContent-Length: 6\r\n\r\nanswer")
                .getBytes(StandardCharsets.ISO_8859_1));
        atLeaving.remove(connection);
    }

    private void request(Harness.Daemon a, String attempt) {
        sentAt.put(attempt, System.nanoTime());
        try (Harness.Client client = new Harness.Client(a.host, a.front)) {
            client.send(Platform.request("POST", "/unsafe/x", attempt, 2_500, "pay"));
            Harness.Head head = client.readHead(3_000);
            client.readBody(head, 3_000, new ByteArrayOutputStream());
            if (head.status != 200) {
                harness.log(attempt + " got " + head.firstLine);
            }
        } catch (IOException e) {
            harness.log(attempt + ": " + e);
        }
    }
}
