import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A crowd of clients sends many requests ahead, at a path without a route, and reads no answer; then it leaves. Ordinary
 * requests that are sent to the same daemons some seconds later have to get a final answer by their route's timeout and
 * half a second, and no daemon may have ended.
 */
public final class PipelinedCrowd {
    private static final int DAEMONS = 2;
    /** Connections of the crowd to each daemon; a daemon of 4,100 descriptors takes 2,000 of callers. */
    private static final int CONNECTIONS = 1_800;
    /** Loopback addresses from which the crowd comes. */
    private static final int ADDRESSES = 20;
    /** Bytes of requests that each connection sends ahead. */
    private static final int AHEAD_BYTES = 200_000;
    private static final long CALM_MILLIS = 5_000;
    private static final long CROWD_MILLIS = 15_000;
    private static final long AFTER_MILLIS = 40_000;
    /**
     * Time after the crowd from which requests count: a machine counts as slowed until 5 s after clients press beyond the
     * usual, and is in touch once that is 3 s ago.
     */
    private static final long COUNTED_AFTER_MILLIS = 8_000;
    private static final long BETWEEN_REQUESTS_MILLIS = 500;
    /** The route's timeout, and the time after it by which there has to be a final answer. */
    private static final long TIMEOUT_MILLIS = 2_500;
    private static final long MARGIN_MILLIS = 500;
    /** The rule is broken by eight or more of the requests that last longer than the timeout, and over a quarter. */
    private static final int LEAST_UNANSWERED = 8;

    private final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final long startedAt = System.nanoTime();
    private final List<String> record = Collections.synchronizedList(new ArrayList<>());
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger lasted = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();
    private volatile long countedFrom = Long.MAX_VALUE;
    private final AtomicInteger ended = new AtomicInteger();
    private volatile boolean stopping;

    private long now() {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }

    private void note(String text) {
        record.add(String.format("%7d ms  %s", now(), text));
    }

    private static byte[] requestsAhead() {
        String request = "GET /nowhere/2f HTTP/1.1\r\nHost: " + Site.HOST + "\r\n" + Wire.ATTEMPT + ": crowd\r\n"
                + Wire.DEADLINE + ": 9000\r\n\r\n";
        ByteArrayOutputStream ahead = new ByteArrayOutputStream();
        while (ahead.size() < AHEAD_BYTES) {
            ahead.writeBytes(request.getBytes(StandardCharsets.US_ASCII));
        }
        return ahead.toByteArray();
    }

    /** Opens the crowd's connections, sends as much as they take, reads nothing, and closes them. */
    private void crowd(Daemons daemons) throws IOException {
        byte[] ahead = requestsAhead();
        List<SocketChannel> channels = new ArrayList<>();
        try (Selector selector = Selector.open()) {
            for (Daemons.Daemon daemon : daemons.all()) {
                for (int i = 0; i < CONNECTIONS; i++) {
                    SocketChannel channel = SocketChannel.open();
                    channel.bind(new InetSocketAddress("127.0.1." + (1 + i % ADDRESSES), 0));
                    channel.connect(new InetSocketAddress(daemon.host, daemon.front));
                    channel.configureBlocking(false);
                    channel.register(selector, SelectionKey.OP_WRITE, ByteBuffer.wrap(ahead));
                    channels.add(channel);
                }
            }
            note("the crowd has opened " + channels.size() + " connections and begins to send");
            long end = now() + CROWD_MILLIS;
            long bytes = 0;
            while (now() < end) {
                selector.select(50);
                for (SelectionKey key : selector.selectedKeys()) {
                    bytes += send(key);
                }
                selector.selectedKeys().clear();
            }
            note("the crowd has sent " + bytes + " bytes and leaves");
        } finally {
            for (SocketChannel channel : channels) {
                channel.close();
            }
        }
    }

    private static int send(SelectionKey key) {
        ByteBuffer rest = (ByteBuffer) key.attachment();
        try {
            int bytes = ((SocketChannel) key.channel()).write(rest);
            if (!rest.hasRemaining()) {
                key.interestOps(0);
            }
            return bytes;
        } catch (IOException e) {
            key.cancel();
            return 0;
        }
    }

    private void ordinary(Daemons.Daemon daemon) {
        for (int i = 0; !stopping; i++) {
            String attempt = daemon.name + "-r" + i;
            Http.daemonThread(() -> request(daemon, attempt), attempt);
            Waiting.sleep(BETWEEN_REQUESTS_MILLIS);
        }
    }

    private void request(Daemons.Daemon daemon, String attempt) {
        long sentAt = now();
        boolean counts = sentAt >= countedFrom;
        note("request " + attempt + " is sent");
        Client.Outcome outcome = Client.send(
                daemon.host, daemon.front, "GET", Site.SAFE + "fi50", attempt, "", new byte[0], TIMEOUT_MILLIS);
        long millis = now() - sentAt;
        note("request " + attempt + " ends after " + millis + " ms: " + outcome.seen());
        if (!counts) {
            return;
        }
        sent.incrementAndGet();
        if (outcome.status() == 200) {
            served.incrementAndGet();
        }
        if (millis > TIMEOUT_MILLIS) {
            lasted.incrementAndGet();
        }
        if (!outcome.whole() && millis > TIMEOUT_MILLIS + MARGIN_MILLIS) {
            unanswered.incrementAndGet();
            note("BROKEN: request " + attempt + " has no final answer " + millis + " ms after it was sent");
        }
    }

    private int run() throws IOException {
        Store store = new Store("127.0.0.1", DAEMONS);
        store.put(Wire.CONFIGURATION, Site.configuration(3));
        for (int i = 1; i <= 3; i++) {
            String id = "i-" + i;
            Http.Server server = new Http.Server("127.0.0." + (50 + i), 0, (request, socket, out) -> {
                String attempt = request.header(Wire.ATTEMPT);
                note("request " + attempt + " runs at " + id);
                Waiting.sleep(40);
                Http.write(
                        out,
                        "HTTP/1.1 200 OK",
                        Map.of(Wire.ATTEMPT, attempt, Wire.SEAL, "seal." + id),
                        new byte[800]);
                return true;
            });
            store.put("servers/" + id, Site.entry("wuno96b", server.address(), "ready", 1, System.currentTimeMillis()));
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
        for (Daemons.Daemon daemon : daemons.all()) {
            Http.daemonThread(() -> ordinary(daemon), "ordinary");
        }
        Waiting.sleep(CALM_MILLIS);
        if (trouble) {
            crowd(daemons);
        } else {
            Waiting.sleep(CROWD_MILLIS);
        }
        countedFrom = now() + COUNTED_AFTER_MILLIS;
        note("requests count from " + countedFrom + " ms on");
        Waiting.sleep(AFTER_MILLIS);
        stopping = true;
        Waiting.sleep(TIMEOUT_MILLIS + 3_000);
        for (Daemons.Daemon daemon : daemons.all()) {
            long errors = Files.readString(daemons.folder().resolve(daemon.name + ".log"))
                    .lines()
                    .filter(line -> line.contains("OutOfMemoryError"))
                    .count();
            note(daemon.name + " is ready: " + daemon.ready() + "; lines of its log with OutOfMemoryError: " + errors);
        }
        note(served + " of " + sent + " ordinary requests that count were served; " + lasted + " lasted longer than the timeout, "
                + unanswered + " of them had no final answer " + MARGIN_MILLIS + " ms after it; processes ended"
                + " by themselves " + ended + " times");
        daemons.end();
        boolean broken = unanswered.get() >= LEAST_UNANSWERED && 4 * unanswered.get() > lasted.get();
        return broken || ended.get() > 0 ? 1 : 0;
    }

    public static void main(String[] args) throws IOException {
        PipelinedCrowd test = new PipelinedCrowd();
        int result = test.run();
        test.note(result == 0 ? "the rule held" : result == 1 ? "the rule was broken" : "the case could not run");
        Files.write(Path.of(args[0]), List.copyOf(test.record));
        test.record.stream()
                .filter(line -> line.contains("lasted longer") || line.contains("OutOfMemoryError"))
                .forEach(System.out::println);
        System.out.println(test.record.get(test.record.size() - 1));
        System.exit(result);
    }
}
