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

/** A small stand-in of the platform's store: items with revisions, watches and leases. */
final class Store {
    private record Item(String key, byte[] value, long revision, long created, long lease) {
        String json() {
            return "{\"key\":" + Text.quote(key) + ",\"value\":\"" + Base64.getEncoder().encodeToString(value)
                    + "\",\"revision\":" + revision + ",\"created\":" + created + ",\"lease\":" + lease + "}";
        }
    }

    private record Event(String key, long revision, Item item) {
        String json() {
            return item != null
                    ? item.json()
                    : "{\"key\":" + Text.quote(key) + ",\"revision\":" + revision + ",\"tombstone\":true}";
        }
    }

    /** Time that an answer takes, in milliseconds. */
    volatile long delayMillis = 4;
    /** While true, the store accepts connections and answers nothing. */
    volatile boolean silent;

    private final HttpServer server;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Event> events = new ArrayList<>();
    private final Map<Long, Long> leaseEnds = new HashMap<>();
    private final Map<Long, Long> leaseTtls = new HashMap<>();
    private long revision = 10;
    private long nextLease = 100;

    Store(String host) throws IOException {
        server = HttpServer.create(new InetSocketAddress(host, 0), 200);
        server.setExecutor(Executors.newCachedThreadPool(Threads::daemon));
        server.createContext("/", this::handle);
        server.start();
        Threads.daemon(this::expireLeases).start();
    }

    String address() {
        return server.getAddress().getAddress().getHostAddress() + ":" + server.getAddress().getPort();
    }

    synchronized long put(String key, byte[] value, long lease) {
        revision++;
        Item known = items.get(key);
        Item item = new Item(key, value, revision, known == null ? revision : known.created(), lease);
        items.put(key, item);
        events.add(new Event(key, revision, item));
        notifyAll();
        return revision;
    }

    long put(String key, String value) {
        return put(key, value.getBytes(StandardCharsets.UTF_8), 0);
    }

    synchronized void delete(String key) {
        if (items.remove(key) != null) {
            revision++;
            events.add(new Event(key, revision, null));
            notifyAll();
        }
    }

    void stop() {
        server.stop(0);
    }

    private void expireLeases() {
        while (true) {
            Threads.sleep(200);
            if (silent) {
                continue; // The leases pause while the store is down.
            }
            synchronized (this) {
                long now = System.nanoTime() / 1_000_000;
                List<Long> ended = new ArrayList<>();
                leaseEnds.forEach((lease, end) -> {
                    if (end < now) {
                        ended.add(lease);
                    }
                });
                ended.forEach(this::endLease);
            }
        }
    }

    private synchronized boolean endLease(long lease) {
        if (leaseEnds.remove(lease) == null) {
            return false;
        }
        List<String> keys = new ArrayList<>();
        items.values().forEach(item -> {
            if (item.lease() == lease) {
                keys.add(item.key());
            }
        });
        keys.forEach(this::delete);
        return true;
    }

    private void handle(HttpExchange exchange) throws IOException {
        try {
            byte[] body = exchange.getRequestBody().readAllBytes();
            while (silent) {
                Threads.sleep(20);
            }
            Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
            String path = exchange.getRequestURI().getPath();
            String method = exchange.getRequestMethod();
            String text = new String(body, StandardCharsets.UTF_8);
            int status = 200;
            String answer;
            if (path.equals(Wire.RANGE)) {
                answer = range(query.getOrDefault("path_prefix", ""), query.getOrDefault("after", ""));
            } else if (path.equals(Wire.WATCH)) {
                answer = watch(
                        query.getOrDefault("path_prefix", ""),
                        Long.parseLong(query.get("after")),
                        Long.parseLong(query.get("wait_ms")));
            } else if (path.equals(Wire.TRANSACTION)) {
                answer = txn(text);
                status = answer == null ? 404 : 200;
            } else if (path.equals(Wire.LEASE)) {
                answer = grant(Long.parseLong(field(text, "ttl_ms")));
            } else if (path.startsWith(Wire.KEEP)) {
                answer = keep(Long.parseLong(path.substring(Wire.KEEP.length())));
                status = answer == null ? 404 : 200;
            } else if (method.equals("DELETE") && path.startsWith(Wire.LEASE_END)) {
                boolean known = endLease(Long.parseLong(path.substring(Wire.LEASE_END.length())));
                answer = known ? "{}" : null;
                status = known ? 200 : 404;
            } else {
                answer = null;
                status = 404;
            }
            Threads.sleep(delayMillis);
            while (silent) {
                Threads.sleep(20);
            }
            byte[] bytes = (answer == null ? "{}" : answer).getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.getResponseHeaders().set(Wire.ERA, "0");
            exchange.sendResponseHeaders(status, bytes.length);
            exchange.getResponseBody().write(bytes);
        } catch (IOException | RuntimeException e) {
            // The caller has gone, or sent a call that the store doesn't know.
        } finally {
            exchange.close();
        }
    }

    private synchronized String range(String prefix, String after) {
        StringBuilder found = new StringBuilder();
        items.tailMap(prefix).forEach((key, item) -> {
            if (key.startsWith(prefix) && key.compareTo(after) > 0) {
                found.append(found.length() == 0 ? "" : ",").append(item.json());
            }
        });
        return "{\"items\":[" + found + "],\"truncated\":false,\"store_revision\":" + revision + "}";
    }

    private synchronized String watch(String prefix, long after, long waitMillis) {
        long end = System.nanoTime() / 1_000_000 + waitMillis;
        while (true) {
            StringBuilder found = new StringBuilder();
            for (Event event : events) {
                if (event.revision() > after && event.key().startsWith(prefix)) {
                    found.append(found.length() == 0 ? "" : ",").append(event.json());
                }
            }
            long left = end - System.nanoTime() / 1_000_000;
            if (found.length() > 0 || left <= 0) {
                return "{\"events\":[" + found + "],\"store_revision\":" + revision + "}";
            }
            try {
                wait(left);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return "{\"events\":[],\"store_revision\":" + after + "}";
            }
        }
    }

    /** Carries out the puts of a transaction; the daemon sends neither conditions nor deletes. */
    private synchronized String txn(String body) {
        Matcher put = Pattern.compile("\\{[^{}]*\"key\"[^{}]*}").matcher(body);
        while (put.find()) {
            long lease = Long.parseLong(field(put.group(), "lease"));
            if (lease != 0 && !leaseEnds.containsKey(lease)) {
                return null;
            }
            put(field(put.group(), "key"), Base64.getDecoder().decode(field(put.group(), "value")), lease);
        }
        return "{\"revision\":" + revision + "}";
    }

    private synchronized String grant(long ttlMillis) {
        long lease = nextLease++;
        leaseTtls.put(lease, ttlMillis);
        leaseEnds.put(lease, System.nanoTime() / 1_000_000 + ttlMillis);
        return "{\"lease\":" + lease + ",\"ttl_ms\":" + ttlMillis + "}";
    }

    private synchronized String keep(long lease) {
        if (!leaseEnds.containsKey(lease)) {
            return null;
        }
        leaseEnds.put(lease, System.nanoTime() / 1_000_000 + leaseTtls.get(lease));
        return "{\"ttl_ms\":" + leaseTtls.get(lease) + "}";
    }

    private static Map<String, String> query(String text) {
        Map<String, String> values = new HashMap<>();
        if (text != null) {
            for (String part : text.split("&")) {
                int at = part.indexOf('=');
                values.put(part.substring(0, at), URLDecoder.decode(part.substring(at + 1), StandardCharsets.UTF_8));
            }
        }
        return values;
    }

    private static String field(String json, String name) {
        Matcher field = Pattern.compile("\"" + name + "\"\\s*:\\s*(\"([^\"]*)\"|(-?\\d+))").matcher(json);
        if (!field.find()) {
            throw new IllegalArgumentException("no field " + name);
        }
        return field.group(2) != null ? field.group(2) : field.group(3);
    }
}
