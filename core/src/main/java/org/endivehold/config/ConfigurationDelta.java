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
 * The objects that differ between two revisions. For a typical edit it is far smaller than the whole configuration.
 *
 * <p>A delta that is applied to a configuration other than the one it was computed from yields a configuration with the
 * wrong digest. A receiver that verifies the digest therefore never activates such a mixture.
 *
 * @param changed changed and new objects as canonical JSON
 * @param removed objects that no longer exist, as {@code Kind/name}
 */
public record ConfigurationDelta(List<String> changed, List<String> removed) {
    private static final com.fasterxml.jackson.databind.json.JsonMapper MAPPER =
            new com.fasterxml.jackson.databind.json.JsonMapper();

    /**
     * Computes the delta from one configuration to another.
     *
     * @param before the earlier configuration
     * @param after the later one
     * @return the delta with which {@link #applyTo} turns {@code before} into {@code after}
     */
    public static ConfigurationDelta between(Configuration before, Configuration after) {
        SortedMap<ObjectKey, ObjectNode> old = ConfigurationWriter.objects(before);
        SortedMap<ObjectKey, ObjectNode> current = ConfigurationWriter.objects(after);
        List<String> changed = new ArrayList<>();
        current.forEach((key, node) -> {
            if (!node.equals(old.get(key))) {
                changed.add(node.toString());
            }
        });
        List<String> removed = new ArrayList<>();
        for (ObjectKey key : old.keySet()) {
            if (!current.containsKey(key)) {
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
     * @throws EndiveholdException of type {@code CONFIG_INVALID} if the delta or the resulting configuration is invalid
     */
    public Configuration applyTo(Configuration before) throws EndiveholdException {
        SortedMap<ObjectKey, ObjectNode> objects = ConfigurationWriter.objects(before);
        objects.keySet().removeIf(key -> removed.contains(key.toString()));
        for (String json : changed) {
            ObjectNode node = parse(json);
            String kindName = node.path("kind").asText();
            ObjectKind kind = ObjectKind.of(kindName)
                    .orElseThrow(() -> new EndiveholdException(
                            ErrorType.CONFIG_INVALID, "unknown object kind in configuration delta: " + kindName));
            objects.put(new ObjectKey(kind, node.path("name").asText()), node);
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
            throw new EndiveholdException(ErrorType.CONFIG_INVALID, "the configuration delta contains malformed JSON")
                    .causedBy(e);
        }
        throw new EndiveholdException(
                ErrorType.CONFIG_INVALID, "the configuration delta contains JSON that is not an object");
    }
}
