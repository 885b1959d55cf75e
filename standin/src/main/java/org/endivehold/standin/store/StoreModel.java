package org.endivehold.standin.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Keys, revisions and leases of the stand-in. Not thread-safe; the caller passes in the time in milliseconds of a
 * monotonic clock.
 */
final class StoreModel {
    private static final JsonNodeFactory JSON = JsonNodeFactory.instance;
    private static final int MAX_HISTORY = 10_000;
    private static final long MILLIS_PER_SECOND = 1_000L;

    private final SortedMap<String, KeyValue> keys = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final List<Change> history = new ArrayList<>();
    private final Consumer<Change> onChange;
    private long revision = 1;
    private long lastLease = 100;

    /** A key with its value; the bytes of both are held as ISO 8859-1 text. */
    record KeyValue(String key, String value, long createRevision, long modRevision, long version, long lease) {
        ObjectNode json() {
            ObjectNode node = JSON.objectNode();
            node.put("key", encode(key));
            node.put("create_revision", Long.toString(createRevision));
            node.put("mod_revision", Long.toString(modRevision));
            node.put("version", Long.toString(version));
            node.put("value", encode(value));
            if (lease != 0) {
                node.put("lease", Long.toString(lease));
            }
            return node;
        }
    }

    /** A put or deletion of one key. */
    record Change(boolean put, KeyValue entry) {
        ObjectNode json() {
            ObjectNode node = JSON.objectNode();
            if (!put) {
                node.put("type", "DELETE");
            }
            node.set("kv", entry.json());
            return node;
        }
    }

    private record Lease(long ttlSeconds, long expiresAt) {}

    /** Thrown when a call is invalid or not supported; the message is that of the error answer. */
    static final class BadCall extends Exception {
        private static final long serialVersionUID = 1L;

        BadCall(String message) {
            super(message);
        }
    }

    StoreModel(Consumer<Change> onChange) {
        this.onChange = onChange;
    }

    long revision() {
        return revision;
    }

    /**
     * Returns the changes from a revision on.
     *
     * @throws BadCall if older ones have been dropped
     */
    List<Change> historyFrom(long start) throws BadCall {
        if (!history.isEmpty() && start < history.get(0).entry().modRevision() && history.size() >= MAX_HISTORY) {
            throw new BadCall("etcdserver: mvcc: required revision has been compacted");
        }
        return history.stream().filter(c -> c.entry().modRevision() >= start).toList();
    }

    ObjectNode range(JsonNode call) {
        ArrayNode kvs = JSON.arrayNode();
        long limit = number(call, "limit");
        int count = 0;
        for (KeyValue entry : matching(call)) {
            count++;
            if (limit == 0 || count <= limit) {
                kvs.add(entry.json());
            }
        }
        ObjectNode answer = answerWithHeader();
        if (count > 0) {
            answer.set("kvs", kvs);
            answer.put("count", Integer.toString(count));
        }
        return answer;
    }

    ObjectNode txn(JsonNode call) throws BadCall {
        boolean holds = true;
        for (JsonNode compare : call.path("compare")) {
            holds &= holds(compare);
        }
        ArrayNode responses = JSON.arrayNode();
        boolean wrote = false;
        JsonNode operations = call.path(holds ? "success" : "failure");
        for (JsonNode operation : operations) {
            check(operation);
        }
        for (JsonNode operation : operations) {
            wrote |= !field(operation, "request_range").isObject();
            responses.add(apply(operation, revision + 1));
        }
        revision += wrote ? 1 : 0;
        ObjectNode answer = answerWithHeader();
        if (holds) {
            answer.put("succeeded", true);
        }
        answer.set("responses", responses);
        return answer;
    }

    ObjectNode put(JsonNode call) throws BadCall {
        checkPut(call);
        write(call, revision + 1);
        revision++;
        return answerWithHeader();
    }

    ObjectNode deleteRange(JsonNode call) {
        int deleted = delete(call, revision + 1);
        revision += deleted > 0 ? 1 : 0;
        ObjectNode answer = answerWithHeader();
        if (deleted > 0) {
            answer.put("deleted", Integer.toString(deleted));
        }
        return answer;
    }

    ObjectNode grant(JsonNode call, long now) {
        long ttl = Math.max(1, number(call, "TTL"));
        lastLease++;
        leases.put(lastLease, new Lease(ttl, now + ttl * MILLIS_PER_SECOND));
        return leaseAnswer(lastLease, ttl);
    }

    ObjectNode keepAlive(JsonNode call, long now) {
        long id = number(call, "ID");
        Lease lease = leases.get(id);
        if (lease == null) {
            return leaseAnswer(id, 0);
        }
        leases.put(id, new Lease(lease.ttlSeconds(), now + lease.ttlSeconds() * MILLIS_PER_SECOND));
        return leaseAnswer(id, lease.ttlSeconds());
    }

    ObjectNode revoke(JsonNode call) throws BadCall {
        long id = number(call, "ID");
        if (!leases.containsKey(id)) {
            throw new BadCall("etcdserver: requested lease not found");
        }
        removeLease(id);
        return answerWithHeader();
    }

    void expire(long now) {
        List<Long> due = leases.entrySet().stream()
                .filter(e -> e.getValue().expiresAt() <= now)
                .map(Map.Entry::getKey)
                .toList();
        due.forEach(this::removeLease);
    }

    ObjectNode answerWithHeader() {
        ObjectNode answer = JSON.objectNode();
        answer.putObject("header").put("revision", Long.toString(revision));
        return answer;
    }

    /** Returns whether a key lies in the range of a call: {@code key} alone or up to {@code range_end}. */
    static boolean covers(JsonNode call, String key) {
        String from = decode(field(call, "key").asText());
        String to = decode(field(call, "range_end").asText());
        if (to.isEmpty()) {
            return key.equals(from);
        }
        return key.compareTo(from) >= 0 && (to.equals("\0") || key.compareTo(to) < 0);
    }

    /** Returns a field by its snake-case name, or by its camel-case name if that is absent. */
    static JsonNode field(JsonNode node, String name) {
        JsonNode found = node.path(name);
        return found.isMissingNode() ? node.path(camelCase(name)) : found;
    }

    static long number(JsonNode node, String name) {
        return field(node, name).asLong(0);
    }

    private static String camelCase(String name) {
        StringBuilder result = new StringBuilder();
        for (String word : name.split("_", -1)) {
            boolean first = result.length() == 0;
            result.append(first || word.isEmpty() ? word : Character.toUpperCase(word.charAt(0)) + word.substring(1));
        }
        return result.toString();
    }

    private static String encode(String latin) {
        return Base64.getEncoder().encodeToString(latin.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static String decode(String base64) {
        return new String(Base64.getDecoder().decode(base64), StandardCharsets.ISO_8859_1);
    }

    private ObjectNode leaseAnswer(long id, long ttl) {
        ObjectNode answer = answerWithHeader();
        answer.put("ID", Long.toString(id));
        if (ttl > 0) {
            answer.put("TTL", Long.toString(ttl));
        }
        return answer;
    }

    private List<KeyValue> matching(JsonNode call) {
        String from = decode(field(call, "key").asText());
        return keys.tailMap(from).values().stream()
                .takeWhile(e -> covers(call, e.key()))
                .toList();
    }

    private boolean holds(JsonNode compare) throws BadCall {
        KeyValue entry = keys.get(decode(compare.path("key").asText()));
        String target = compare.path("target").asText("VERSION");
        String result = compare.path("result").asText("EQUAL");
        int order =
                switch (target) {
                    case "MOD" ->
                        Long.compare(entry == null ? 0 : entry.modRevision(), number(compare, "mod_revision"));
                    case "CREATE" ->
                        Long.compare(entry == null ? 0 : entry.createRevision(), number(compare, "create_revision"));
                    case "VERSION" -> Long.compare(entry == null ? 0 : entry.version(), number(compare, "version"));
                    default -> throw new BadCall("unsupported compare target " + target);
                };
        return switch (result) {
            case "EQUAL" -> order == 0;
            case "NOT_EQUAL" -> order != 0;
            case "GREATER" -> order > 0;
            case "LESS" -> order < 0;
            default -> throw new BadCall("unsupported compare result " + result);
        };
    }

    private void check(JsonNode operation) throws BadCall {
        JsonNode put = field(operation, "request_put");
        if (put.isObject()) {
            checkPut(put);
        }
    }

    private void checkPut(JsonNode put) throws BadCall {
        long lease = number(put, "lease");
        if (lease != 0 && !leases.containsKey(lease)) {
            throw new BadCall("etcdserver: requested lease not found");
        }
    }

    private ObjectNode apply(JsonNode operation, long at) throws BadCall {
        JsonNode put = field(operation, "request_put");
        JsonNode delete = field(operation, "request_delete_range");
        JsonNode range = field(operation, "request_range");
        ObjectNode answer = JSON.objectNode();
        if (put.isObject()) {
            write(put, at);
            answer.set("response_put", answerWithHeader());
        } else if (delete.isObject()) {
            int deleted = delete(delete, at);
            answer.putObject("response_delete_range").put("deleted", Integer.toString(deleted));
        } else if (range.isObject()) {
            answer.set("response_range", range(range));
        } else {
            throw new BadCall("unsupported operation " + operation);
        }
        return answer;
    }

    private void write(JsonNode put, long at) {
        String key = decode(put.path("key").asText());
        KeyValue old = keys.get(key);
        KeyValue entry = new KeyValue(
                key,
                decode(put.path("value").asText()),
                old == null ? at : old.createRevision(),
                at,
                old == null ? 1 : old.version() + 1,
                number(put, "lease"));
        keys.put(key, entry);
        recordChange(new Change(true, entry));
    }

    private int delete(JsonNode call, long at) {
        List<KeyValue> deleted = matching(call);
        for (KeyValue entry : deleted) {
            keys.remove(entry.key());
            recordChange(new Change(false, new KeyValue(entry.key(), "", 0, at, 0, 0)));
        }
        return deleted.size();
    }

    private void removeLease(long lease) {
        leases.remove(lease);
        List<KeyValue> attached =
                keys.values().stream().filter(e -> e.lease() == lease).toList();
        if (!attached.isEmpty()) {
            revision++;
        }
        for (KeyValue entry : attached) {
            keys.remove(entry.key());
            recordChange(new Change(false, new KeyValue(entry.key(), "", 0, revision, 0, 0)));
        }
    }

    private void recordChange(Change change) {
        history.add(change);
        if (history.size() > MAX_HISTORY) {
            history.subList(0, MAX_HISTORY / 10).clear();
        }
        onChange.accept(change);
    }
}
