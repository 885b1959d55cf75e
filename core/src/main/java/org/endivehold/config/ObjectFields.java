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

/** Reads the fields of one JSON object and collects every fault instead of stopping at the first. */
final class ObjectFields {
    private final String object;
    private final ObjectNode node;
    private final List<ConfigurationFault> faults;
    private final Set<String> read = new HashSet<>(Set.of("kind", "name"));
    private boolean failed;

    ObjectFields(String object, ObjectNode node, List<ConfigurationFault> faults) {
        this.object = object;
        this.node = node;
        this.faults = faults;
    }

    /** Tells whether a field was missing or malformed, so that no object can be built. */
    boolean failed() {
        return failed;
    }

    <T> T name(String field, Function<String, T> type) {
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
        fault(field, Reason.MALFORMED, "expected a name, found " + shorten(value.get()));
        return Optional.empty();
    }

    <T> List<T> names(String field, Function<String, T> type) {
        List<T> names = new ArrayList<>();
        for (String text : texts(field)) {
            if (Names.isValid(text)) {
                names.add(type.apply(text));
            } else {
                fault(field, Reason.MALFORMED, "not a name: " + text);
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
            fault(field, Reason.MALFORMED, "expected an array of strings, found " + shorten(value.get()));
            return List.of();
        }
        for (JsonNode element : value.get()) {
            if (element.isTextual()) {
                texts.add(element.textValue());
            } else {
                fault(field, Reason.MALFORMED, "expected a string, found " + shorten(element));
            }
        }
        return List.copyOf(texts);
    }

    Optional<String> text(String field) {
        Optional<JsonNode> value = value(field);
        if (value.isPresent() && !value.get().isTextual()) {
            fault(field, Reason.MALFORMED, "expected a string, found " + shorten(value.get()));
            return Optional.empty();
        }
        return value.map(JsonNode::textValue);
    }

    String requiredText(String field) {
        requirePresent(field);
        return text(field).orElse("");
    }

    long number(String field, long absent) {
        Optional<JsonNode> value = value(field);
        if (value.isEmpty()) {
            return absent;
        }
        if (!value.get().isIntegralNumber() || !value.get().canConvertToLong()) {
            fault(field, Reason.MALFORMED, "expected a whole number, found " + shorten(value.get()));
            return absent;
        }
        return value.get().longValue();
    }

    long requiredNumber(String field) {
        requirePresent(field);
        return number(field, 0);
    }

    int integer(String field, int absent) {
        long number = number(field, absent);
        if ((int) number != number) {
            fault(field, Reason.OUT_OF_RANGE, number + " is too large");
            return absent;
        }
        return (int) number;
    }

    boolean flag(String field, boolean absent) {
        Optional<JsonNode> value = value(field);
        if (value.isPresent() && !value.get().isBoolean()) {
            fault(field, Reason.MALFORMED, "expected true or false, found " + shorten(value.get()));
            return absent;
        }
        return value.map(JsonNode::booleanValue).orElse(absent);
    }

    <T extends Enum<T>> T choice(String field, T[] choices, T absent) {
        Optional<String> text = text(field);
        if (text.isEmpty()) {
            return absent;
        }
        for (T choice : choices) {
            if (word(choice).equals(text.get())) {
                return choice;
            }
        }
        List<String> words = Arrays.stream(choices).map(ObjectFields::word).toList();
        fault(field, Reason.MALFORMED, "expected one of " + words + ", found " + text.get());
        return absent;
    }

    void rejectUnknown() {
        node.fieldNames().forEachRemaining(field -> {
            if (!read.contains(field)) {
                fault(field, Reason.UNKNOWN_FIELD, "this kind has no such field");
            }
        });
    }

    static String word(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }

    private Optional<JsonNode> value(String field) {
        read.add(field);
        JsonNode value = node.get(field);
        return value == null || value.isNull() ? Optional.empty() : Optional.of(value);
    }

    private void requirePresent(String field) {
        if (value(field).isEmpty()) {
            fault(field, Reason.MISSING, "this field is required");
        }
    }

    private void fault(String field, Reason reason, String detail) {
        failed = true;
        faults.add(new ConfigurationFault(object, field, reason, detail));
    }

    private static String shorten(JsonNode value) {
        String text = value.toString();
        return text.length() <= 80 ? text : text.substring(0, 80) + "...";
    }
}
