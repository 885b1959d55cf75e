package org.endivehold.daemon.platform;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import org.endivehold.platform.LeaseId;
import org.endivehold.platform.StoreEntry;

/**
 * Builds requests and parses answers of the JSON gateway of etcd v3. On the wire, keys and values are base64, 64-bit
 * numbers are strings, fields with default values are left out, and keys start with the installation's prefix, which
 * this class adds and removes.
 */
final class EtcdJson {
    private final String prefix;

    EtcdJson(String prefix) {
        this.prefix = prefix;
    }

    JsonObject range(String key) {
        return new JsonObject().put("key", key(key));
    }

    JsonObject rangePrefix(String keyPrefix) {
        byte[] first = (prefix + keyPrefix).getBytes(StandardCharsets.UTF_8);
        return new JsonObject().put("key", encode(first)).put("range_end", encode(endOfPrefix(first)));
    }

    JsonObject put(String key, long expected, byte[] value, Optional<LeaseId> lease) {
        JsonObject put = new JsonObject().put("key", key(key)).put("value", encode(value));
        lease.ifPresent(id -> put.put("lease", Long.toString(id.value())));
        return txn(key, expected, new JsonObject().put("request_put", put));
    }

    JsonObject delete(String key, long expected) {
        JsonObject delete = new JsonObject().put("request_delete_range", new JsonObject().put("key", key(key)));
        return txn(key, expected, delete);
    }

    JsonObject watch(String keyPrefix) {
        return new JsonObject().put("create_request", rangePrefix(keyPrefix));
    }

    static JsonObject lease(LeaseId lease) {
        return new JsonObject().put("ID", Long.toString(lease.value()));
    }

    List<StoreEntry> entries(JsonObject answer) {
        List<StoreEntry> entries = new ArrayList<>();
        JsonArray kvs = answer.getJsonArray("kvs", new JsonArray());
        for (int i = 0; i < kvs.size(); i++) {
            entries.add(entry(kvs.getJsonObject(i)));
        }
        return entries;
    }

    Optional<StoreEntry> firstEntry(JsonObject answer) {
        return entries(answer).stream().findFirst();
    }

    /** Returns the entry that a failed compare-and-swap found in place, or empty if the key does not exist. */
    Optional<StoreEntry> currentEntry(JsonObject txnAnswer) {
        JsonArray responses = txnAnswer.getJsonArray("responses", new JsonArray());
        if (responses.isEmpty()) {
            return Optional.empty();
        }
        return firstEntry(responses.getJsonObject(0).getJsonObject("response_range", new JsonObject()));
    }

    StoreEntry entry(JsonObject kv) {
        byte[] value = Base64.getDecoder().decode(kv.getString("value", ""));
        return new StoreEntry(keyOf(kv), value, number(kv, "mod_revision"));
    }

    String keyOf(JsonObject kv) {
        String key = new String(Base64.getDecoder().decode(kv.getString("key", "")), StandardCharsets.UTF_8);
        return key.startsWith(prefix) ? key.substring(prefix.length()) : key;
    }

    static long headerRevision(JsonObject answer) {
        return number(answer.getJsonObject("header", new JsonObject()), "revision");
    }

    static long number(JsonObject object, String field) {
        Object value = object.getValue(field);
        return value == null ? 0 : Long.parseLong(value.toString());
    }

    private JsonObject txn(String key, long expected, JsonObject success) {
        JsonObject compare = new JsonObject()
                .put("key", key(key))
                .put("target", "MOD")
                .put("result", "EQUAL")
                .put("mod_revision", Long.toString(expected));
        JsonObject failure = new JsonObject().put("request_range", range(key));
        return new JsonObject()
                .put("compare", new JsonArray().add(compare))
                .put("success", new JsonArray().add(success))
                .put("failure", new JsonArray().add(failure));
    }

    private String key(String key) {
        return encode((prefix + key).getBytes(StandardCharsets.UTF_8));
    }

    private static String encode(byte[] bytes) {
        return Base64.getEncoder().encodeToString(bytes);
    }

    /** Returns the smallest key above all keys with the prefix; a single zero byte means no upper bound. */
    static byte[] endOfPrefix(byte[] first) {
        for (int i = first.length - 1; i >= 0; i--) {
            if (first[i] != (byte) 0xff) {
                byte[] end = java.util.Arrays.copyOf(first, i + 1);
                end[i]++;
                return end;
            }
        }
        return new byte[] {0};
    }
}
