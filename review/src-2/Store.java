import java.io.IOException;
import java.io.OutputStream;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.UnaryOperator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A stand-in of the platform's store in memory: items, ranges, watches, leases and unconditional writes. */
final class Store {
    private record Item(String key, String value, long revision, long lease) {}

    private record Event(String key, String value, long revision) {}

    /** A copy of the store as of some moment. */
    record Copy(Map<String, Object> items, long revision, long takenAt) {}

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Event> history = new ArrayList<>();
    private final Map<Long, Long> leaseEnds = new HashMap<>();
    private final Map<Long, Long> leaseTtl = new HashMap<>();
    private long revision = 100;
    private long historyFrom = 100;
    private long era;
    private long nextLease = 70_000;
    private volatile boolean down;
    private final List<Http.Server> doors = new ArrayList<>();
    private final Map<String, Set<Long>> seenBy = new HashMap<>();
    private final Map<Integer, UnaryOperator<String>> views = new ConcurrentHashMap<>();

    /** Creates a store with a port for each daemon, so that it can tell which of them calls. */
    Store(String host, int daemons) throws IOException {
        for (int i = 0; i < daemons; i++) {
            int caller = i;
            doors.add(new Http.Server(host, 0, (request, socket, out) -> serve(caller, request, out)));
        }
        Http.daemonThread(this::expire, "leases");
    }

    /** Returns the address of the store for one daemon. */
    String address(int daemon) {
        return doors.get(daemon).address();
    }

    /** Changes the values that one daemon reads, so that it meets a proxy in place of a server. */
    void rewrite(int daemon, UnaryOperator<String> view) {
        views.put(daemon, view);
    }

    private String view(int caller, String value) {
        UnaryOperator<String> view = views.get(caller);
        if (view == null || value == null) {
            return value;
        }
        String text = new String(Base64.getDecoder().decode(value), StandardCharsets.UTF_8);
        return Base64.getEncoder().encodeToString(view.apply(text).getBytes(StandardCharsets.UTF_8));
    }

    /** Returns whether a daemon has gone on from a revision or a later one in a watch: it has what came before. */
    synchronized boolean hasTaken(int daemon, String prefix, long revisionTaken) {
        return seenBy.getOrDefault(daemon + prefix, Set.of()).stream().anyMatch(after -> after >= revisionTaken);
    }

    synchronized long put(String key, String value) {
        return put(key, value, 0);
    }

    private long put(String key, String value, long lease) {
        String text = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
        return putEncoded(key, text, lease);
    }

    private long putEncoded(String key, String value, long lease) {
        revision++;
        items.put(key, new Item(key, value, revision, lease));
        history.add(new Event(key, value, revision));
        notifyAll();
        return revision;
    }

    synchronized long delete(String key) {
        if (items.remove(key) != null) {
            revision++;
            history.add(new Event(key, null, revision));
            notifyAll();
        }
        return revision;
    }

    synchronized Copy copy() {
        return new Copy(new TreeMap<>(items), revision, System.nanoTime());
    }

    /** Begins an outage: calls get no answer, those that wait are cut. */
    synchronized void goDown() {
        down = true;
        notifyAll();
    }

    /** Ends the outage with an older copy: revisions fall back, and the era rises. */
    synchronized void restore(Copy copy) {
        items.clear();
        copy.items().forEach((key, item) -> items.put(key, (Item) item));
        revision = copy.revision();
        historyFrom = revision;
        history.clear();
        seenBy.clear();
        era++;
        down = false;
        notifyAll();
    }

    private void expire() {
        while (true) {
            Waiting.sleep(100);
            synchronized (this) {
                long now = System.nanoTime();
                for (Long lease : List.copyOf(leaseEnds.keySet())) {
                    if (leaseEnds.get(lease) < now) {
                        endLease(lease);
                    }
                }
            }
        }
    }

    private void endLease(long lease) {
        leaseEnds.remove(lease);
        items.values().stream()
                .filter(item -> item.lease() == lease)
                .map(Item::key)
                .toList()
                .forEach(this::delete);
    }

    private boolean serve(int caller, Http.Message request, OutputStream out) throws IOException {
        if (down) {
            return false;
        }
        String target = request.target();
        int mark = target.indexOf('?');
        String path = mark < 0 ? target : target.substring(0, mark);
        Map<String, String> query = query(mark < 0 ? "" : target.substring(mark + 1));
        String body = new String(request.body(), StandardCharsets.UTF_8);
        if (path.equals(Wire.RANGE)) {
            return answer(out, 200, range(caller, query.get("path_prefix")));
        } else if (path.equals(Wire.WATCH)) {
            return watch(
                    out,
                    caller,
                    query.get("path_prefix"),
                    Long.parseLong(query.get("after")),
                    Long.parseLong(query.get("wait_ms")));
        } else if (path.equals(Wire.LEASE)) {
            return answer(out, 200, grant(number(body, "ttl_ms")));
        } else if (path.startsWith(Wire.KEEP)) {
            boolean kept = keep(Long.parseLong(path.substring(Wire.KEEP.length())));
            return answer(out, kept ? 200 : 404, "{\"ttl_ms\":0}");
        } else if (path.startsWith(Wire.LEASE_END)) {
            synchronized (this) {
                endLease(Long.parseLong(path.substring(Wire.LEASE_END.length())));
            }
            return answer(out, 200, "{}");
        } else if (path.equals(Wire.TRANSACTION)) {
            return transact(out, body);
        }
        return answer(out, 404, "{}");
    }

    private synchronized String range(int caller, String prefix) {
        StringBuilder json = new StringBuilder("{\"items\":[");
        String comma = "";
        for (Item item : items.values()) {
            if (item.key().startsWith(prefix)) {
                json.append(comma).append(event(item.key(), view(caller, item.value()), item.revision()));
                comma = ",";
            }
        }
        return json + "],\"truncated\":false,\"store_revision\":" + revision + "}";
    }

    private boolean watch(OutputStream out, int caller, String prefix, long after, long waitMillis)
            throws IOException {
        String answer;
        synchronized (this) {
            seenBy.computeIfAbsent(caller + prefix, name -> new TreeSet<>()).add(after);
            long end = System.nanoTime() + waitMillis * 1_000_000;
            long atEra = era;
            if (after < historyFrom || after > revision) {
                return answer(out, 410, "{}");
            }
            while (events(prefix, after).isEmpty() && System.nanoTime() < end && !down && era == atEra) {
                Waiting.waitOn(this, Math.max(1, (end - System.nanoTime()) / 1_000_000));
            }
            if (down || era != atEra) {
                return false;
            }
            StringBuilder json = new StringBuilder("{\"events\":[");
            String comma = "";
            for (Event event : events(prefix, after)) {
                json.append(comma).append(event(event.key(), view(caller, event.value()), event.revision()));
                comma = ",";
            }
            answer = json + "],\"store_revision\":" + revision + "}";
        }
        return answer(out, 200, answer);
    }

    private List<Event> events(String prefix, long after) {
        return history.stream()
                .filter(event -> event.revision() > after && event.key().startsWith(prefix))
                .toList();
    }

    private static String event(String key, String value, long revision) {
        String rest = value == null
                ? "\"tombstone\":true"
                : "\"value\":\"" + value + "\",\"created\":" + revision + ",\"lease\":0";
        return "{\"key\":\"" + key + "\",\"revision\":" + revision + "," + rest + "}";
    }

    private synchronized String grant(long ttlMillis) {
        nextLease++;
        leaseTtl.put(nextLease, ttlMillis);
        leaseEnds.put(nextLease, System.nanoTime() + ttlMillis * 1_000_000);
        return "{\"lease\":" + nextLease + ",\"ttl_ms\":" + ttlMillis + "}";
    }

    private synchronized boolean keep(long lease) {
        return leaseEnds.computeIfPresent(lease, (id, end) -> System.nanoTime() + leaseTtl.get(id) * 1_000_000) != null;
    }

    private synchronized boolean transact(OutputStream out, String body) throws IOException {
        Matcher puts = Pattern.compile(
                        "\\{\"key\":\"([^\"]*)\",\"value\":\"([^\"]*)\",\"lease\":([0-9]+)\\}")
                .matcher(body);
        while (puts.find()) {
            long lease = Long.parseLong(puts.group(3));
            if (lease != 0 && !leaseEnds.containsKey(lease)) {
                return answer(out, 404, "{}");
            }
            putEncoded(puts.group(1), puts.group(2), lease);
        }
        return answer(out, 200, "{\"revision\":" + revision + "}");
    }

    private static long number(String json, String field) {
        Matcher number = Pattern.compile("\"" + field + "\":([0-9]+)").matcher(json);
        return number.find() ? Long.parseLong(number.group(1)) : 0;
    }

    private static Map<String, String> query(String text) {
        Map<String, String> query = new HashMap<>();
        for (String pair : text.split("&")) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                query.put(
                        pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    private boolean answer(OutputStream out, int status, String json) throws IOException {
        Http.write(
                out,
                "HTTP/1.1 " + status + " Status",
                Map.of("Content-Type", "application/json", Wire.ERA, String.valueOf(era)),
                json.getBytes(StandardCharsets.UTF_8));
        return true;
    }
}
