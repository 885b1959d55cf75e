import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Streams of a plain service, without a length or chunks, which end with their connections; one of seven servers crashes
 * in the middle of events.
 */
final class Case12 {
    private static final int SERVERS = 7;
    private static final int STREAMS = 70;
    private static final int STREAM_GAP_MILLIS = 40;
    private static final int EVENTS = 12;
    private static final int EVENT_MILLIS = 90;
    private static final int CRASH_AFTER = 40;
    private static final int DEADLINE_MILLIS = 5_000;
    /** Where clients abandon a stream. */
    private static final int PATIENCE_MILLIS = 2_000;

    private final Harness harness;
    private final AtomicInteger cutButComplete = new AtomicInteger();
    private volatile boolean crashed;

    private Case12(Harness harness) {
        this.harness = harness;
    }

    public static void main(String[] args) {
        Harness.main(args, harness -> new Case12(harness).run());
    }

    private int run() throws Exception {
        Store store = new Store();
        store.put(
                Names.CONFIGURATION,
                Platform.configuration(7, "")
                        .replace("\"streaming\",\"service\":\"engines\"", "\"streaming\",\"service\":\"plain\""));
        for (int i = 1; i <= SERVERS; i++) {
            String id = "p-" + i;
            InetSocketAddress address = Harness.server(
                    "127.0.0.1", (head, body, out, connection) -> serve(id, head, out, connection));
            store.put(Names.SERVERS + id, Platform.server("plain", "bogota-a", address, 6, 1_000 + i, "ready"));
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
        for (int i = 0; i < STREAMS; i++) {
            if (i == CRASH_AFTER && harness.trouble) {
                harness.log("p-1 crashes");
                crashed = true;
            }
            String attempt = "at" + i;
            Thread client = Harness.daemonThread(() -> stream(a, attempt));
            client.start();
            clients.add(client);
            Thread.sleep(STREAM_GAP_MILLIS);
        }
        for (Thread client : clients) {
            client.join();
        }
        harness.log("streams that a server broke off inside an event and that ended as complete: " + cutButComplete.get());
        return cutButComplete.get() > 0 ? Harness.BROKEN : Harness.HELD;
    }

    private void serve(String id, Harness.Head head, OutputStream out, Socket connection)
            throws IOException, InterruptedException {
        boolean crashes = id.equals("p-1");
        if (crashes && crashed) {
            return;
        }
        String attempt = head.fields.get(Names.ATTEMPT);
        harness.log(id + " runs " + attempt);
        write(
                out,
                "HTTP/1.1 200 OK\r\n" + Names.ATTEMPT + ": " + attempt + "\r\n" + Names.SEAL + ": " + id + "." + attempt
                        + "\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n");
        for (int i = 1; i <= EVENTS; i++) {
            String event = "id: " + i + "\ndata: piece-" + i + "-of-" + EVENTS + "\n\n";
            if (crashes && crashed) {
                write(out, event.substring(0, event.length() / 2));
                harness.log(id + " ends inside event " + i + " of " + attempt);
                return;
            }
            write(out, event);
            Thread.sleep(EVENT_MILLIS);
        }
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    private void stream(Harness.Daemon a, String attempt) {
        String outcome;
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean looksComplete = false;
        try (Harness.Client client = new Harness.Client(a.host, a.front)) {
            client.send(Platform.request("POST", "/stream/2f", attempt, DEADLINE_MILLIS, "p"));
            Harness.Head head = client.readHead(PATIENCE_MILLIS);
            Harness.Client.End end = client.readBody(head, PATIENCE_MILLIS, body);
            looksComplete = head.status == 200 && end == Harness.Client.End.COMPLETE;
            outcome = head.status + " " + end + " " + head.fields;
        } catch (IOException e) {
            outcome = e.toString();
        }
        String text = body.toString(StandardCharsets.ISO_8859_1);
        boolean whole = text.endsWith("piece-" + EVENTS + "-of-" + EVENTS + "\n\n");
        harness.log("client of " + attempt + ": " + outcome + ", " + (whole ? "whole" : "not whole"));
        if (looksComplete && !whole) {
            cutButComplete.incrementAndGet();
            harness.log("what the client of " + attempt + " got ends with: " + text.substring(Math.max(0, text.length() - 40)));
        }
    }
}
