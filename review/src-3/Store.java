import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A stand-in of the platform's metadata store: ranges, watches, transactions without preconditions, and leases. One store
 * may listen on several addresses; at each, the addresses in server entries may be replaced by others, as a proxy stands
 * between that daemon and the servers.
 */
final class Store {
    private static final Pattern KEY = Pattern.compile("\"key\":\"([^\"]*)\"");
    private static final Pattern VALUE = Pattern.compile("\"value\":\"([^\"]*)\"");
    private static final Pattern LEASE = Pattern.compile("\"lease\":([0-9]+)");
    private static final Pattern TTL = Pattern.compile("\"ttl_ms\":([0-9]+)");

    private record Item(String key, byte[] value, long revision, boolean removed, long lease) {}

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Item> history = new ArrayList<>();
    private final Map<Long, long[]> leases = new HashMap<>();
    /** Longest wait of a watch, in milliseconds; one that waits longer is cut. */
    volatile long watchCutMillis = Long.MAX_VALUE;

    private long revision = 1;
    private long nextLease = 1;

    /** Opens an address; {@code rewrite} replaces texts in the values of server entries that are read there. */
    InetSocketAddress open(String host, Map<String, String> rewrite) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(host, 0), 64);
        server.setExecutor(Executors.newCachedThreadPool(Harness::daemonThread));
        server.createContext("/", exchange -> serve(exchange, rewrite));
        server.start();
        return server.getAddress();
    }

    synchronized void put(String key, String value) {
        put(key, value.getBytes(StandardCharsets.UTF_8), 0);
    }

    private synchronized void put(String key, byte[] value, long lease) {
        write(new Item(key, value, ++revision, false, lease));
    }

    synchronized void remove(String key) {
        if (items.containsKey(key)) {
            write(new Item(key, new byte[0], ++revision, true, 0));
        }
    }

    private void write(Item item) {
        if (item.removed()) {
            items.remove(item.key());
        } else {
            items.put(item.key(), item);
        }
        history.add(item);
        notifyAll();
    }

    private void serve(HttpExchange exchange, Map<String, String> rewrite) throws IOException {
        try {
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
            String path = exchange.getRequestURI().getPath();
            if (path.equals(Names.name("range"))) {
                answer(exchange, 200, range(query.getOrDefault("path_prefix", ""), rewrite));
            } else if (path.equals(Names.name("watch"))) {
                String events = watch(query, rewrite);
                if (events.isEmpty()) {
                    return; // Closes the connection.
                }
                answer(exchange, 200, events);
            } else if (path.equals(Names.name("transact"))) {
                transact(exchange, body);
            } else if (path.equals(Names.name("lease"))) {
                answer(exchange, 200, grant(body));
            } else if (path.startsWith(Names.name("keep"))) {
                boolean kept = keep(Long.parseLong(path.substring(Names.name("keep").length())));
                answer(exchange, kept ? 200 : 404, "{}");
            } else if (path.startsWith(Names.name("end"))) {
                boolean ended = end(Long.parseLong(path.substring(Names.name("end").length())));
                answer(exchange, ended ? 200 : 404, "{}");
            } else {
                answer(exchange, 404, "{}");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            exchange.close();
        }
    }

    private static void answer(HttpExchange exchange, int status, String json) throws IOException {
        byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.getResponseHeaders().set(Names.ERA, "0");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> query = new HashMap<>();
        if (raw != null) {
            for (String part : raw.split("&")) {
                int at = part.indexOf('=');
                query.put(part.substring(0, at), URLDecoder.decode(part.substring(at + 1), StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    private static String json(Item item, Map<String, String> rewrite) {
        if (item.removed()) {
            return "{\"key\":\"" + item.key() + "\",\"revision\":" + item.revision() + ",\"tombstone\":true}";
        }
        byte[] value = item.value();
        if (item.key().startsWith(Names.SERVERS)) {
            String text = new String(value, StandardCharsets.UTF_8);
            for (Map.Entry<String, String> entry : rewrite.entrySet()) {
                text = text.replace(entry.getKey(), entry.getValue());
            }
            value = text.getBytes(StandardCharsets.UTF_8);
        }
        return "{\"key\":\"" + item.key() + "\",\"value\":\""
                + Base64.getEncoder().encodeToString(value) + "\",\"revision\":" + item.revision()
                + ",\"created\":" + item.revision() + ",\"lease\":" + item.lease() + "}";
    }

    private synchronized String range(String prefix, Map<String, String> rewrite) {
        expire();
        List<String> found = new ArrayList<>();
        for (Item item : items.tailMap(prefix).values()) {
            if (!item.key().startsWith(prefix)) {
                break;
            }
            found.add(json(item, rewrite));
        }
        return "{\"items\":[" + String.join(",", found) + "],\"truncated\":false,\"store_revision\":" + revision + "}";
    }

    private synchronized String watch(Map<String, String> query, Map<String, String> rewrite)
            throws InterruptedException {
        String prefix = query.get("path_prefix");
        long after = Long.parseLong(query.get("after"));
        long wait = Long.parseLong(query.get("wait_ms"));
        boolean cut = wait > watchCutMillis;
        long until = System.nanoTime() + Math.min(wait, watchCutMillis) * 1_000_000;
        while (true) {
            expire();
            List<String> events = new ArrayList<>();
            for (Item item : history) {
                if (item.revision() > after && item.key().startsWith(prefix)) {
                    events.add(json(item, rewrite));
                }
            }
            long left = (until - System.nanoTime()) / 1_000_000;
            if (events.isEmpty() && left <= 0 && cut) {
                return "";
            }
            if (!events.isEmpty() || left <= 0) {
                return "{\"events\":[" + String.join(",", events) + "],\"store_revision\":" + revision + "}";
            }
            wait(Math.min(left, 200));
        }
    }

    private void transact(HttpExchange exchange, String body) throws IOException {
        Matcher key = KEY.matcher(body);
        Matcher value = VALUE.matcher(body);
        Matcher lease = LEASE.matcher(body);
        synchronized (this) {
            while (key.find() && value.find()) {
                long id = lease.find() ? Long.parseLong(lease.group(1)) : 0;
                if (id != 0 && !leases.containsKey(id)) {
                    answer(exchange, 404, "{}");
                    return;
                }
                put(key.group(1), Base64.getDecoder().decode(value.group(1)), id);
            }
            answer(exchange, 200, "{\"revision\":" + revision + "}");
        }
    }

    private synchronized String grant(String body) {
        Matcher ttl = TTL.matcher(body);
        long millis = ttl.find() ? Long.parseLong(ttl.group(1)) : 1_000;
        long id = nextLease++;
        leases.put(id, new long[] {millis, System.currentTimeMillis() + millis});
        return "{\"lease\":" + id + ",\"ttl_ms\":" + millis + "}";
    }

    private synchronized boolean keep(long id) {
        expire();
        long[] lease = leases.get(id);
        if (lease != null) {
            lease[1] = System.currentTimeMillis() + lease[0];
        }
        return lease != null;
    }

    private synchronized boolean end(long id) {
        boolean known = leases.remove(id) != null;
        for (Item item : List.copyOf(items.values())) {
            if (item.lease() == id && known) {
                remove(item.key());
            }
        }
        return known;
    }

    private void expire() {
        long now = System.currentTimeMillis();
        for (Long id : List.copyOf(leases.keySet())) {
            if (leases.get(id)[1] < now) {
                end(id);
            }
        }
    }
}
