package org.endivehold.daemon.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.vertx.core.json.JsonObject;
import io.vertx.json.schema.Draft;
import io.vertx.json.schema.JsonSchema;
import io.vertx.json.schema.JsonSchemaOptions;
import io.vertx.json.schema.OutputFormat;
import io.vertx.json.schema.OutputUnit;
import io.vertx.json.schema.Validator;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Reads a settings file: validates it against the schema, merges it into the defaults, and then checks the rules that a
 * schema cannot express. Each of the two checks reports all faults that it finds; the second runs only if the schema
 * finds none.
 */
public final class SettingsReader {
    private static final String SCHEMA = "settings-schema.json";
    private static final String DEFAULTS = "settings-defaults.json";
    private static final String UNEXPECTED_PROPERTY_ERROR = "does not match additional properties schema";
    private static final ObjectMapper MAPPER = new ObjectMapper()
            .registerModule(new Jdk8Module())
            .configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, true);

    private SettingsReader() {}

    /**
     * Reads settings from a file.
     *
     * @param file the settings file
     * @return the settings, with defaults for missing fields
     * @throws SettingsException if the file cannot be read or has faults
     */
    public static Settings read(Path file) throws SettingsException {
        String text;
        try {
            text = Files.readString(file, StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new SettingsException(List.of(new SettingsFault("/", "cannot read " + file + ": " + e)));
        }
        return parse(text);
    }

    /**
     * Reads settings from a string.
     *
     * @param text the settings as JSON
     * @return the settings, with defaults for missing fields
     * @throws SettingsException if the settings have faults
     */
    public static Settings parse(String text) throws SettingsException {
        JsonNode given = parseObject(text);
        List<SettingsFault> faults = new ArrayList<>(schemaFaults(given.toString()));
        if (faults.isEmpty()) {
            JsonNode merged = merge(defaults(), given);
            Settings settings = toSettings(merged);
            faults.addAll(SettingsRules.check(settings));
            if (faults.isEmpty()) {
                return settings;
            }
        }
        faults.sort(Comparator.comparing(SettingsFault::path).thenComparing(SettingsFault::reason));
        throw new SettingsException(faults);
    }

    /**
     * Returns the schema of the settings file.
     *
     * @return the JSON schema (draft 2020-12)
     */
    public static JsonObject schema() {
        return new JsonObject(resource(SCHEMA));
    }

    /**
     * Returns the defaults of all optional fields that have one.
     *
     * @return the defaults in a new JSON tree, which the caller may change
     */
    public static ObjectNode defaults() {
        try {
            return (ObjectNode) MAPPER.readTree(resource(DEFAULTS));
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static JsonNode parseObject(String text) throws SettingsException {
        try {
            JsonNode node = MAPPER.readTree(text);
            if (node != null && node.isObject()) {
                return node;
            }
            throw new SettingsException(List.of(new SettingsFault("/", "not a JSON object")));
        } catch (JsonProcessingException e) {
            throw new SettingsException(List.of(new SettingsFault("/", "not JSON: " + e.getOriginalMessage())));
        }
    }

    private static List<SettingsFault> schemaFaults(String text) {
        JsonSchemaOptions options = new JsonSchemaOptions()
                .setBaseUri("https://endivehold.invalid/")
                .setDraft(Draft.DRAFT202012)
                .setOutputFormat(OutputFormat.Basic);
        OutputUnit result = Validator.create(JsonSchema.of(schema()), options).validate(new JsonObject(text));
        if (Boolean.TRUE.equals(result.getValid())) {
            return List.of();
        }
        List<SettingsFault> all = result.getErrors().stream()
                .filter(SettingsReader::isLeaf)
                .map(unit -> new SettingsFault(pointer(unit), unit.getError()))
                .distinct()
                .toList();
        return all.stream()
                .filter(fault -> !isCausedByNestedFault(fault, all))
                .map(SettingsReader::simplify)
                .toList();
    }

    private static SettingsFault simplify(SettingsFault fault) {
        return fault.reason().endsWith(UNEXPECTED_PROPERTY_ERROR)
                ? new SettingsFault(fault.path(), "is not a setting")
                : fault;
    }

    /** The validator also reports all parents of an invalid property as unexpected properties; those are omitted. */
    private static boolean isCausedByNestedFault(SettingsFault fault, List<SettingsFault> all) {
        return fault.reason().endsWith(UNEXPECTED_PROPERTY_ERROR)
                && all.stream()
                        .filter(other -> !other.reason().endsWith(UNEXPECTED_PROPERTY_ERROR))
                        .anyMatch(other -> (other.path() + "/").startsWith(fault.path() + "/"));
    }

    private static boolean isLeaf(OutputUnit unit) {
        String keyword = unit.getKeywordLocation();
        return !keyword.endsWith("/properties") && !keyword.endsWith("/items");
    }

    private static String pointer(OutputUnit unit) {
        String location = unit.getInstanceLocation().replaceFirst("^#", "");
        return location.isEmpty() ? "/" : location;
    }

    private static JsonNode merge(ObjectNode base, JsonNode over) {
        over.properties().forEach(field -> {
            JsonNode old = base.get(field.getKey());
            if (old instanceof ObjectNode section && field.getValue().isObject()) {
                merge(section, field.getValue());
            } else {
                base.set(field.getKey(), field.getValue());
            }
        });
        return base;
    }

    private static Settings toSettings(JsonNode merged) throws SettingsException {
        try {
            return MAPPER.treeToValue(merged, Settings.class);
        } catch (JsonProcessingException | IllegalArgumentException e) {
            throw new SettingsException(List.of(new SettingsFault("/", String.valueOf(e.getMessage()))));
        }
    }

    private static String resource(String name) {
        try (InputStream in = SettingsReader.class.getResourceAsStream(name)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
