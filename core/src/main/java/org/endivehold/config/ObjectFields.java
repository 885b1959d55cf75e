package org.endivehold.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.endivehold.config.ConfigurationFault.Reason;
import org.endivehold.misc.Names;

/** Typed access to the fields of one JSON object; collects every fault instead of stopping at the first. */
final class ObjectFields {
    private final String object;
    private final ObjectNode node;
    private final List<ConfigurationFault> faults;
    private final Set<String> fieldsRead = new HashSet<>(Set.of("kind", "name"));
    private boolean failed;

    ObjectFields(String object, ObjectNode node, List<ConfigurationFault> faults) {
        this.object = object;
        this.node = node;
        this.faults = faults;
    }

    /** Returns whether any field had a fault so far, in which case the object must not be built. */
    boolean failed() {
        return failed;
    }

    <T> T requiredName(String field, Function<String, T> type) {
        requirePresent(field);
        return optionalName(field, type).orElse(null);
    }

    <T> Optional<T> optionalName(String field, Function<String, T> type) {
        Optional<JsonNode> value = value(field);
        if (value.isEmpty()) {
            return Optional.empty();
        }
        if (value.get().isTextual() && Names.isValid(value.get().textValue())) {
            return Optional.of(type.apply(value.get().textValue()));
        }
        addFault(field, Reason.MALFORMED, "expected a valid name, found " + shorten(value.get()));
        return Optional.empty();
    }

    <T> List<T> names(String field, Function<String, T> type) {
        List<T> names = new ArrayList<>();
        for (String text : texts(field)) {
            if (Names.isValid(text)) {
                names.add(type.apply(text));
            } else {
                addFault(field, Reason.MALFORMED, "not a valid name: " + text);
            }
        }
        return List.copyOf(names);
    }

    List<String> texts(String field) {
        Optional<JsonNode> value = value(field);
        if (value.isEmpty()) {
            return List.of();
        }
        List<String> texts = new ArrayList<>();
        if (!value.get().isArray()) {
            addFault(field, Reason.MALFORMED, "expected an array of strings, found " + shorten(value.get()));
            return List.of();
        }
        for (JsonNode element : value.get()) {
            if (element.isTextual()) {
                texts.add(element.textValue());
            } else {
                addFault(field, Reason.MALFORMED, "expected a string, found " + shorten(element));
            }
        }
        return List.copyOf(texts);
    }

    Optional<String> text(String field) {
        Optional<JsonNode> value = value(field);
        if (value.isPresent() && !value.get().isTextual()) {
            addFault(field, Reason.MALFORMED, "expected a string, found " + shorten(value.get()));
            return Optional.empty();
        }
        return value.map(JsonNode::textValue);
    }

    String requiredText(String field) {
        requirePresent(field);
        return text(field).orElse("");
    }

    long number(String field, long defaultValue) {
        Optional<JsonNode> value = value(field);
        if (value.isEmpty()) {
            return defaultValue;
        }
        if (!value.get().isIntegralNumber() || !value.get().canConvertToLong()) {
            addFault(field, Reason.MALFORMED, "expected a 64-bit integer, found " + shorten(value.get()));
            return defaultValue;
        }
        return value.get().longValue();
    }

    long requiredNumber(String field) {
        requirePresent(field);
        return number(field, 0);
    }

    int integer(String field, int defaultValue) {
        long number = number(field, defaultValue);
        if ((int) number != number) {
            addFault(field, Reason.OUT_OF_RANGE, number + " is outside the 32-bit integer range");
            return defaultValue;
        }
        return (int) number;
    }

    boolean flag(String field, boolean defaultValue) {
        Optional<JsonNode> value = value(field);
        if (value.isPresent() && !value.get().isBoolean()) {
            addFault(field, Reason.MALFORMED, "expected true or false, found " + shorten(value.get()));
            return defaultValue;
        }
        return value.map(JsonNode::booleanValue).orElse(defaultValue);
    }

    <T extends Enum<T>> T enumValue(String field, T[] choices, T defaultValue) {
        Optional<String> text = text(field);
        if (text.isEmpty()) {
            return defaultValue;
        }
        for (T choice : choices) {
            if (lowerCaseName(choice).equals(text.get())) {
                return choice;
            }
        }
        List<String> names =
                Arrays.stream(choices).map(ObjectFields::lowerCaseName).toList();
        addFault(field, Reason.MALFORMED, "expected one of " + names + ", found " + text.get());
        return defaultValue;
    }

    void rejectUnknown() {
        node.fieldNames().forEachRemaining(field -> {
            if (!fieldsRead.contains(field)) {
                addFault(field, Reason.UNKNOWN_FIELD, "this kind has no such field");
            }
        });
    }

    static String lowerCaseName(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }

    private Optional<JsonNode> value(String field) {
        fieldsRead.add(field);
        JsonNode value = node.get(field);
        return value == null || value.isNull() ? Optional.empty() : Optional.of(value);
    }

    private void requirePresent(String field) {
        if (value(field).isEmpty()) {
            addFault(field, Reason.MISSING, "this field is required");
        }
    }

    private void addFault(String field, Reason reason, String detail) {
        failed = true;
        faults.add(new ConfigurationFault(object, field, reason, detail));
    }

    private static String shorten(JsonNode value) {
        String text = value.toString();
        return text.length() <= 80 ? text : text.substring(0, 80) + "...";
    }
}
