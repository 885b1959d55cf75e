package org.endivehold.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;

/**
 * The objects that differ between two revisions; smaller than a whole configuration by far for a common edit.
 *
 * <p>A delta that does not fit the configuration that it is applied to yields a configuration with another digest, so a
 * receiver that checks the digest never puts such a mixture in force.
 *
 * @param changed changed and new objects as canonical JSON
 * @param removed objects that are gone, as {@code Kind/name}
 */
public record ConfigurationDelta(List<String> changed, List<String> removed) {
    private static final com.fasterxml.jackson.databind.json.JsonMapper MAPPER =
            new com.fasterxml.jackson.databind.json.JsonMapper();

    /**
     * Computes a delta.
     *
     * @param before the earlier configuration
     * @param after the later one
     * @return what leads from the one to the other
     */
    public static ConfigurationDelta between(Configuration before, Configuration after) {
        SortedMap<ObjectKey, ObjectNode> old = ConfigurationWriter.objects(before);
        SortedMap<ObjectKey, ObjectNode> fresh = ConfigurationWriter.objects(after);
        List<String> changed = new ArrayList<>();
        fresh.forEach((key, node) -> {
            if (!node.equals(old.get(key))) {
                changed.add(node.toString());
            }
        });
        List<String> removed = new ArrayList<>();
        for (ObjectKey key : old.keySet()) {
            if (!fresh.containsKey(key)) {
                removed.add(key.toString());
            }
        }
        return new ConfigurationDelta(List.copyOf(changed), List.copyOf(removed));
    }

    /**
     * Applies the delta and checks the result.
     *
     * @param before the earlier configuration
     * @return the later one
     * @throws EndiveholdException of type {@code CONFIG_INVALID} if the result is malformed
     */
    public Configuration applyTo(Configuration before) throws EndiveholdException {
        SortedMap<ObjectKey, ObjectNode> objects = ConfigurationWriter.objects(before);
        objects.keySet().removeIf(key -> removed.contains(key.toString()));
        for (String json : changed) {
            ObjectNode node = parse(json);
            String kind = node.path("kind").asText();
            ObjectKind known = ObjectKind.of(kind)
                    .orElseThrow(() -> new EndiveholdException(ErrorType.CONFIG_INVALID, "unknown kind " + kind));
            objects.put(new ObjectKey(known, node.path("name").asText()), node);
        }
        return ConfigurationReader.readObjects("delta", objects.values()).orThrow();
    }

    private static ObjectNode parse(String json) throws EndiveholdException {
        try {
            JsonNode node = MAPPER.readTree(json);
            if (node instanceof ObjectNode object) {
                return object;
            }
        } catch (IOException e) {
            throw new EndiveholdException(ErrorType.CONFIG_INVALID, "a delta with malformed JSON").causedBy(e);
        }
        throw new EndiveholdException(ErrorType.CONFIG_INVALID, "a delta with something other than objects");
    }
}
