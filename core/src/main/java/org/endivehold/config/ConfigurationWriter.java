package org.endivehold.config;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.UncheckedIOException;
import java.util.Collection;
import java.util.SortedMap;
import java.util.TreeMap;
import org.apache.commons.codec.digest.DigestUtils;

/**
 * Writes configurations as JSON in a canonical form: one array, objects sorted by kind and name, fields in a fixed
 * order with defaults written out, no white space. Two configurations are equal if and only if their canonical forms
 * are.
 */
public final class ConfigurationWriter {
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;
    private static final JsonMapper MAPPER = new JsonMapper();

    private ConfigurationWriter() {}

    /**
     * Writes the canonical form.
     *
     * @param configuration the configuration
     * @return UTF-8 bytes
     */
    public static byte[] canonical(Configuration configuration) {
        ArrayNode array = NODES.arrayNode();
        array.addAll(objects(configuration).values());
        return bytes(array);
    }

    /**
     * Computes the digest of a configuration.
     *
     * @param configuration the configuration
     * @return SHA-256 over its canonical form, in lower-case hexadecimal
     */
    public static String digest(Configuration configuration) {
        return DigestUtils.sha256Hex(canonical(configuration));
    }

    /**
     * Converts each object to its canonical JSON tree.
     *
     * @param configuration the configuration
     * @return the objects as JSON, sorted by kind and name
     */
    public static SortedMap<ObjectKey, ObjectNode> objects(Configuration configuration) {
        SortedMap<ObjectKey, ObjectNode> objects = new TreeMap<>();
        configuration.models().values().forEach(model -> add(objects, ObjectKind.MODEL, model.name())
                .put("maxContextTokens", model.maxContextTokens()));
        configuration.versions().values().forEach(version -> add(objects, ObjectKind.VERSION, version.name())
                .put("model", version.model().value())
                .put("weightBytes", version.weightBytes()));
        configuration.adapters().values().forEach(adapter -> add(objects, ObjectKind.ADAPTER, adapter.name())
                .put("version", adapter.version().value()));
        configuration.routes().values().forEach(route -> route(add(objects, ObjectKind.ROUTE, route.name()), route));
        configuration
                .customers()
                .values()
                .forEach(customer -> customer(add(objects, ObjectKind.CUSTOMER, customer.name()), customer));
        configuration.zones().values().forEach(zone -> add(objects, ObjectKind.AVAILABILITY_ZONE, zone.name())
                .put("region", zone.region().value())
                .put("state", ObjectFields.lowerCaseName(zone.state())));
        configuration
                .upstreams()
                .values()
                .forEach(upstream -> upstream(add(objects, ObjectKind.UPSTREAM, upstream.name()), upstream));
        return objects;
    }

    private static void route(ObjectNode node, Route route) {
        node.put("type", ObjectFields.lowerCaseName(route.kind()));
        route.version().ifPresent(version -> node.put("version", version.value()));
        route.adapter().ifPresent(adapter -> node.put("adapter", adapter.value()));
        route.pathPrefix().ifPresent(prefix -> node.put("pathPrefix", prefix));
        names(node, "upstreams", route.upstreams());
        node.put("idempotent", route.idempotent());
        node.put("requestClass", ObjectFields.lowerCaseName(route.requestClass()));
        node.put("defaultDeadlineMillis", route.defaultDeadlineMillis());
        node.put("maxDeadlineMillis", route.maxDeadlineMillis());
        node.put("longPromptTokens", route.longPromptTokens());
    }

    private static void customer(ObjectNode node, Customer customer) {
        names(node, "keyHashes", customer.keyHashes());
        node.put("weight", customer.weight());
        node.put("maxConcurrent", customer.maxConcurrent());
        node.put("maxQueued", customer.maxQueued());
    }

    private static void upstream(ObjectNode node, Upstream upstream) {
        node.put("type", ObjectFields.lowerCaseName(upstream.kind()));
        node.put("zone", upstream.zone().value());
        node.put("address", upstream.address());
        node.put("port", upstream.port());
        node.put("state", ObjectFields.lowerCaseName(upstream.state()));
        names(node, "versions", upstream.versions());
        node.put("slots", upstream.slots());
        node.put("coldSlots", upstream.coldSlots());
        node.put("memoryTokens", upstream.memoryTokens());
        node.put("prefillTokensPerSecond", upstream.prefillTokensPerSecond());
        node.put("checksFencing", upstream.checksFencing());
    }

    private static void names(ObjectNode node, String field, Collection<?> names) {
        ArrayNode array = node.putArray(field);
        names.forEach(name -> array.add(name.toString()));
    }

    private static ObjectNode add(SortedMap<ObjectKey, ObjectNode> objects, ObjectKind kind, Object name) {
        ObjectNode node = NODES.objectNode();
        node.put("kind", kind.label());
        node.put("name", name.toString());
        objects.put(new ObjectKey(kind, name.toString()), node);
        return node;
    }

    static byte[] bytes(Object tree) {
        try {
            return MAPPER.writeValueAsBytes(tree);
        } catch (com.fasterxml.jackson.core.JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }
}
