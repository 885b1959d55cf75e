import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients send bodies of legal size, several at once, and servers answer before they have read them, keep the connection
 * and read on some seconds later. Every request has to get a final answer by its route's timeout and half a second.
 */
public final class EarlyAnswers {
    private static final int DAEMONS = 2;
    /** Clients of each daemon; each sends one request after the other. */
    private static final int CLIENTS = 5;
    /** The longest body that the configuration allows. */
    private static final int BODY_BYTES = 4_194_304;
    /** Time from a server's answer until it reads on. */
    private static final long READS_ON_MILLIS = 8_000;
    private static final long SENDING_MILLIS = 40_000;
    /** The route's timeout, and the time after it by which there has to be a final answer. */
    private static final long TIMEOUT_MILLIS = 2_500;
    private static final long MARGIN_MILLIS = 500;
    /** The rule is broken by eight or more of the requests that last longer than the timeout, and over a quarter. */
    private static final int LEAST_UNANSWERED = 8;

    private final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final long startedAt = System.nanoTime();
    private final List<String> record = Collections.synchronizedList(new ArrayList<>());
    private final AtomicInteger lasted = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();
    private final AtomicInteger ordinary = new AtomicInteger();
    private final AtomicInteger ordinaryFailed = new AtomicInteger();
    private final AtomicInteger ended = new AtomicInteger();
    private volatile boolean stopping;

    private long now() {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }

    private void note(String text) {
        record.add(String.format("%7d ms  %s", now(), text));
    }

    private ServerSocket server(String id, String host) throws IOException {
        ServerSocket listener = new ServerSocket();
        listener.bind(new InetSocketAddress(InetAddress.getByName(host), 0), 200);
        Http.daemonThread(
                () -> {
                    while (true) {
                        try {
                            Socket socket = listener.accept();
                            Http.daemonThread(() -> serve(id, socket), id);
                        } catch (IOException e) {
                            return;
                        }
                    }
                },
                id);
        return listener;
    }

    private void serve(String id, Socket connection) {
        try (Socket socket = connection) {
            InputStream in = socket.getInputStream();
            String head = head(in);
            String attempt = field(head, Wire.ATTEMPT.toLowerCase());
            int length = head.toLowerCase().contains("content-length:")
                    ? Integer.parseInt(field(head, "content-length"))
                    : 0;
            boolean early = trouble && length > 1_000_000;
            if (!early) {
                in.readNBytes(length);
            }
            note("request " + attempt + " runs at " + id);
            answer(socket.getOutputStream(), id, attempt);
            if (early) {
                Waiting.sleep(READS_ON_MILLIS);
            }
            byte[] rest = new byte[65_536];
            while (in.read(rest) >= 0) {
                // The rest of the body is read and left.
            }
        } catch (IOException e) {
            // The daemon has closed the connection.
        }
    }

    private static void answer(OutputStream out, String id, String attempt) throws IOException {
        String answer = "HTTP/1.1 200 OK\r\n" + Wire.ATTEMPT + ": " + attempt + "\r\n" + Wire.SEAL + ": seal."
                + id + "\r\nX-Endivehold-Server-Load: 1,0,6\r\nContent-Length: 2\r\n\r\nok";
        out.write(answer.getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    private static String head(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("the connection ended within a head");
            }
            head.append((char) next);
        }
        return head.toString();
    }

    private static String field(String head, String name) {
        for (String line : head.split("\r\n")) {
            if (line.toLowerCase().startsWith(name + ":")) {
                return line.substring(name.length() + 1).trim();
            }
        }
        return "";
    }

    private void upload(Daemons.Daemon daemon, int client) {
        byte[] body = new byte[BODY_BYTES];
        for (int i = 0; !stopping; i++) {
            String attempt = daemon.name + "-c" + client + "-" + i;
            note("request " + attempt + " is sent");
            long sentAt = now();
            Client.Outcome outcome = Client.send(
                    daemon.host, daemon.front, "POST", Site.UNSAFE + "2f", attempt, "", body, TIMEOUT_MILLIS);
            long millis = now() - sentAt;
            note("request " + attempt + " ends after " + millis + " ms: " + outcome.seen());
            if (millis > TIMEOUT_MILLIS) {
                lasted.incrementAndGet();
            }
            if (!outcome.whole() && millis > TIMEOUT_MILLIS + MARGIN_MILLIS) {
                unanswered.incrementAndGet();
                note("BROKEN: request " + attempt + " has no final answer " + millis + " ms after it was sent");
            }
            Waiting.sleep(100);
        }
    }

    private void look(Daemons.Daemon daemon) {
        for (int i = 0; !stopping; i++) {
            String attempt = daemon.name + "-safe-" + i;
            Client.Outcome outcome = Client.send(
                    daemon.host, daemon.front, "GET", Site.SAFE + "fi50", attempt, "", new byte[0], TIMEOUT_MILLIS);
            ordinary.incrementAndGet();
            if (outcome.status() != 200) {
                ordinaryFailed.incrementAndGet();
                note("ordinary request " + attempt + " ends: " + outcome.seen());
            }
            Waiting.sleep(300);
        }
    }

    private int run() throws IOException {
        Store store = new Store("127.0.0.1", DAEMONS);
        store.put(Wire.CONFIGURATION, Site.configuration(3));
        for (int i = 1; i <= 3; i++) {
            ServerSocket server = server("i-" + i, "127.0.0." + (50 + i));
            String address = server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
            store.put("servers/i-" + i, Site.entry("wuno96b", address, "ready", 1, System.currentTimeMillis()));
        }
        Daemons daemons = new Daemons(store, DAEMONS);
        daemons.startAll();
        if (!daemons.awaitReady(30_000)) {
            note("the daemons have not become ready");
            return 2;
        }
        note("all daemons are ready");
        daemons.restartThoseThatEnd(text -> {
            ended.incrementAndGet();
            note("BROKEN: " + text);
        });
        Waiting.sleep(4_000);
        for (Daemons.Daemon daemon : daemons.all()) {
            Http.daemonThread(() -> look(daemon), "look");
            for (int client = 1; client <= CLIENTS; client++) {
                int number = client;
                Http.daemonThread(() -> upload(daemon, number), "upload");
            }
        }
        Waiting.sleep(SENDING_MILLIS);
        stopping = true;
        Waiting.sleep(TIMEOUT_MILLIS + 6_000);
        for (Daemons.Daemon daemon : daemons.all()) {
            long errors = Files.readString(daemons.folder().resolve(daemon.name + ".log"))
                    .lines()
                    .filter(line -> line.contains("OutOfMemoryError"))
                    .count();
            note(daemon.name + " is ready: " + daemon.ready() + "; lines of its log with OutOfMemoryError: " + errors);
        }
        note(lasted + " requests lasted longer than the timeout, " + unanswered + " of them had no final answer "
                + MARGIN_MILLIS + " ms after it; " + ordinaryFailed + " of " + ordinary + " ordinary requests failed;"
                + " processes ended by themselves " + ended + " times");
        daemons.end();
        boolean broken = unanswered.get() >= LEAST_UNANSWERED && 4 * unanswered.get() > lasted.get();
        return broken || ended.get() > 0 ? 1 : 0;
    }

    public static void main(String[] args) throws IOException {
        EarlyAnswers test = new EarlyAnswers();
        int result = test.run();
        test.note(result == 0 ? "the rule held" : result == 1 ? "the rule was broken" : "the case could not run");
        Files.write(Path.of(args[0]), List.copyOf(test.record));
        test.record.stream().filter(line -> line.contains("lasted longer")).forEach(System.out::println);
        System.out.println(test.record.get(test.record.size() - 1));
        System.exit(result);
    }
}
