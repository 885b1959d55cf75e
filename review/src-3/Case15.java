import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients lose their connections shortly before the end of a stream and resume it; servers spoil 2 in 100 answers. */
final class Case15 {
    private static final int CLIENTS = 100;
    private static final int SERVERS = 4;
    private static final int EVENTS = 6;
    /** Half of the servers. */
    private static final int GARBLING = SERVERS / 2;
    /** Event after which the client's connection breaks. */
    private static final int LAST_READ = 5;

    private static final int EVENT_MILLIS = 30;
    /** One answer in so many is spoiled; 0.02 of them. */
    private static final int SPOILED_EACH = 50;

    private static final int DEADLINE_MILLIS = 10_000;

    private final Harness harness;
    private final AtomicInteger unsealed = new AtomicInteger();
    /** The servers that spoil answers: the first that are used. */
    private final Set<String> garbling = new HashSet<>();

    private int answers;
    private int spoiled;

    private Case15(Harness harness) {
        this.harness = harness;
    }

    public static void main(String[] args) {
        Harness.main(args, harness -> new Case15(harness).run());
    }

    private int run() throws Exception {
        Store store = new Store();
        store.put(Names.CONFIGURATION, Platform.configuration(7, ",\"stream_resume\":true"));
        for (int i = 1; i <= SERVERS; i++) {
            String id = "i-" + i;
            InetSocketAddress address =
                    Harness.server("127.0.0.1", (head, body, out, connection) -> serve(id, head, out));
            store.put(Names.SERVERS + id, Platform.server("engines", "bogota-a", address, 16, 1_000 + i, "ready"));
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
        for (int i = 0; i < CLIENTS; i++) {
            String name = String.format("%03d", i);
            Thread client = Harness.daemonThread(() -> client(a, name));
            client.start();
            clients.add(client);
            Thread.sleep(80);
        }
        for (Thread client : clients) {
            client.join();
        }
        harness.log("answers of servers: " + answers + "; successes without the server's seal: " + unsealed.get());
        return unsealed.get() > 0 ? Harness.BROKEN : Harness.HELD;
    }

    /** Returns whether to spoil an answer that resumes a stream, so that the part of all answers isn't exceeded. */
    private synchronized boolean spoils(String id, boolean resumed) {
        answers++;
        if (garbling.size() < GARBLING) {
            garbling.add(id);
        }
        boolean spoils =
                harness.trouble && resumed && garbling.contains(id) && spoiled < answers / SPOILED_EACH;
        spoiled += spoils ? 1 : 0;
        return spoils;
    }

    private void serve(String id, Harness.Head head, OutputStream out) throws IOException, InterruptedException {
        String attempt = head.fields.get(Names.ATTEMPT);
        int after = Integer.parseInt(head.fields.getOrDefault(Names.LAST, "0"));
        boolean spoil = spoils(id, after > 0);
        harness.log(id + " runs " + attempt + " after event " + after + (spoil ? ", and spoils a byte of event 6" : ""));
        write(
                out,
                "HTTP/1.1 200 OK\r\n" + Names.ATTEMPT + ": " + attempt + "\r\n" + Names.SEAL + ": " + id + "." + attempt
                        + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int i = after + 1; i <= EVENTS; i++) {
            String event = "id: " + (spoil && i == EVENTS ? 2 : i) + "\ndata: piece-" + i + "\n\n";
            write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
            Thread.sleep(EVENT_MILLIS);
        }
        write(out, "0\r\n\r\n");
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** Reads a stream up to some event, loses its connection, and resumes the stream on a new one. */
    private void client(Harness.Daemon a, String name) {
        try (Harness.Client client = new Harness.Client(a.host, a.front)) {
            client.send(request("first" + name, name));
            client.readHead(5_000);
            client.socket.setSoTimeout(5_000);
            StringBuilder text = new StringBuilder();
            while (text.indexOf("piece-" + LAST_READ + "\n\n") < 0) {
                int next = client.in.read();
                if (next < 0) {
                    throw new IOException("the stream ended early");
                }
                text.append((char) next);
            }
        } catch (IOException e) {
            harness.log("client of first" + name + ": " + e);
            return;
        }
        String attempt = "again" + name;
        try (Harness.Client client = new Harness.Client(a.host, a.front)) {
            client.send(request(attempt, name, Names.LAST + ": " + LAST_READ));
            Harness.Head head = client.readHead(5_000);
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            Harness.Client.End end = client.readBody(head, 5_000, body);
            boolean success = head.status / 100 == 2;
            boolean sealed = head.fields.containsKey(Names.SEAL);
            if (success && !sealed) {
                unsealed.incrementAndGet();
            }
            harness.log("client of " + attempt + ": " + head.status + " " + end + (sealed ? ", sealed" : ", NOT SEALED")
                    + ", " + body.size() + " bytes");
        } catch (IOException e) {
            harness.log("client of " + attempt + ": " + e);
        }
    }

    private static String request(String attempt, String name, String... fields) {
        List<String> all = new ArrayList<>(List.of(
                Names.MODEL + ": m",
                Names.TOKENS + ": 4960,200",
                Names.PREFIX + ": 5c1e07a2:40,91bd" + name + ":4920"));
        all.addAll(List.of(fields));
        return Platform.request(
                "POST", "/stream/2f", attempt, DEADLINE_MILLIS, "p".repeat(1_200), all.toArray(new String[0]));
    }
}
