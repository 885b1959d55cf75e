package org.endivehold.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeSet;

/**
 * How one object differs between two configurations.
 *
 * @param object the object
 * @param kind whether it was added, removed or changed
 * @param fields changed fields with their old and new values; empty unless the object is in both
 */
public record ObjectChange(ObjectKey object, Kind kind, List<FieldChange> fields) {
    /** The ways in which an object can differ. */
    public enum Kind {
        /** Only the later configuration has it. */
        ADDED,
        /** Only the earlier configuration has it. */
        REMOVED,
        /** Both have it, with other fields. */
        CHANGED
    }

    /**
     * One field that differs.
     *
     * @param field the field
     * @param before the earlier value as JSON; the text {@code null} if the field was absent
     * @param after the later value as JSON; the text {@code null} if the field is absent
     */
    public record FieldChange(String field, String before, String after) {}

    /**
     * Compares two configurations.
     *
     * @param before the earlier one
     * @param after the later one
     * @return all differences, sorted by kind and name of the object
     */
    public static List<ObjectChange> between(Configuration before, Configuration after) {
        SortedMap<ObjectKey, ObjectNode> old = ConfigurationWriter.objects(before);
        SortedMap<ObjectKey, ObjectNode> current = ConfigurationWriter.objects(after);
        TreeSet<ObjectKey> keys = new TreeSet<>(old.keySet());
        keys.addAll(current.keySet());
        List<ObjectChange> changes = new ArrayList<>();
        for (ObjectKey key : keys) {
            ObjectNode a = old.get(key);
            ObjectNode b = current.get(key);
            if (a == null) {
                changes.add(new ObjectChange(key, Kind.ADDED, List.of()));
            } else if (b == null) {
                changes.add(new ObjectChange(key, Kind.REMOVED, List.of()));
            } else if (!a.equals(b)) {
                changes.add(new ObjectChange(key, Kind.CHANGED, fields(a, b)));
            }
        }
        return List.copyOf(changes);
    }

    private static List<FieldChange> fields(ObjectNode before, ObjectNode after) {
        TreeSet<String> names = new TreeSet<>();
        before.fieldNames().forEachRemaining(names::add);
        after.fieldNames().forEachRemaining(names::add);
        List<FieldChange> changes = new ArrayList<>();
        for (String name : names) {
            JsonNode a = before.get(name);
            JsonNode b = after.get(name);
            if (a == null || !a.equals(b)) {
                changes.add(new FieldChange(name, String.valueOf(a), String.valueOf(b)));
            }
        }
        return List.copyOf(changes);
    }

    @Override
    public String toString() {
        if (kind != Kind.CHANGED) {
            return object + " " + kind.name().toLowerCase(java.util.Locale.ROOT);
        }
        List<String> parts = fields.stream()
                .map(field -> field.field() + " " + field.before() + " -> " + field.after())
                .toList();
        return object + " " + String.join(", ", parts);
    }
}
