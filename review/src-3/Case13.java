import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** A configuration gives a route a longer time-out, and a sound server takes its time for the route's requests. */
final class Case13 {
    private static final int CLIENTS = 6;
    /** The rule allows three. */
    private static final int MOST_CLOSED = 3;

    private static final int WORK_MILLIS = 70_000;
    private static final int TIMEOUT_MILLIS = 80_000;
    private static final int DEADLINE_MILLIS = 90_000;

    private final Harness harness;
    private final AtomicInteger closed = new AtomicInteger();

    private Case13(Harness harness) {
        this.harness = harness;
    }

    public static void main(String[] args) {
        Harness.main(args, harness -> new Case13(harness).run());
    }

    private int run() throws Exception {
        Store store = new Store();
        String configuration = Platform.configuration(7, ",\"stream_resume\":true");
        store.put(Names.CONFIGURATION, configuration);
        InetSocketAddress server = Harness.server("127.0.0.1", (head, body, out, connection) -> {
            String attempt = head.fields.get(Names.ATTEMPT);
            harness.log("the server runs " + attempt + ", time left "
                    + head.fields.get(Names.DEADLINE));
            if (attempt.startsWith("long")) {
                Thread.sleep(WORK_MILLIS);
            }
            out.write(("HTTP/1.1 200 OK\r\n" + Names.ATTEMPT + ": " + attempt
                            + "\r\n" + Names.SEAL + ": p-1." + attempt
                            + "\r\n" + Names.LOAD + ": 1,0,6\r\nContent-Length: 6\r\n\r\nanswer")
                    .getBytes(StandardCharsets.ISO_8859_1));
            harness.log("the server has answered " + attempt);
        });
        store.put(Names.SERVERS + "p-1", Platform.server("plain", "bogota-a", server, 6, 1_001, "ready"));
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
        if (harness.trouble) {
            store.put(
                    Names.CONFIGURATION,
                    configuration
                            .replace("\"version\":7", "\"version\":9")
                            .replace("\"timeout_ms\":1200", "\"timeout_ms\":" + TIMEOUT_MILLIS));
            harness.log("version 9 is acknowledged: the time-out of the plain routes is " + TIMEOUT_MILLIS + " ms");
        }
        Thread.sleep(4_000);
        List<Thread> clients = new ArrayList<>();
        for (int i = 1; i <= CLIENTS; i++) {
            String name = Integer.toString(i);
            Thread client = Harness.daemonThread(() -> client(a, name));
            client.start();
            clients.add(client);
        }
        for (Thread client : clients) {
            client.join();
        }
        harness.logLines(a, "request-ended", "xception");
        harness.log("requests from kept connections that were passed on, and whose connection was closed without an answer: "
                + closed.get());
        return closed.get() > MOST_CLOSED ? Harness.BROKEN : Harness.HELD;
    }

    /** Sends a short request and then a long one on one connection. */
    private void client(Harness.Daemon a, String name) {
        long at = System.nanoTime();
        try (Harness.Client client = new Harness.Client(a.host, a.front)) {
            client.send(Platform.request("POST", "/unsafe/x", "short" + name, DEADLINE_MILLIS, "pay"));
            client.readBody(client.readHead(5_000), 5_000, new ByteArrayOutputStream());
            at = System.nanoTime();
            client.send(Platform.request("POST", "/unsafe/x", "long" + name, DEADLINE_MILLIS, "pay"));
            Harness.Head head = client.readHead(DEADLINE_MILLIS);
            harness.log("client of long" + name + " got " + head.firstLine + " after " + millisSince(at) + " ms");
        } catch (IOException e) {
            closed.incrementAndGet();
            harness.log("client of long" + name + ": " + e + " after " + millisSince(at) + " ms");
        }
    }

    private static long millisSince(long at) {
        return (System.nanoTime() - at) / 1_000_000;
    }
}
