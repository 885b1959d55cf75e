package org.endivehold.config;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.endivehold.config.ConfigurationFault.Reason;
import org.endivehold.misc.Names;

/**
 * Parses configuration objects from JSON and validates them; reports all faults instead of stopping at the first.
 *
 * <p>A document is one object or an array of objects. Each has a {@code kind}, a {@code name} and the fields of its
 * kind; {@code type} distinguishes generation routes from plain routes and engines from plain services. Of a directory,
 * all {@code *.json} files are read in order of file names; which file an object is in has no effect.
 *
 * <p>Example: {@code {"kind": "AvailabilityZone", "name": "north", "region": "quito", "state": "in"}}.
 */
public final class ConfigurationReader {
    /** Maximum number of objects in a configuration. */
    public static final int MAX_OBJECTS = 100_000;

    /** Maximum size of a document, in bytes. */
    public static final int MAX_DOCUMENT_BYTES = 32 * 1024 * 1024;

    private static final JsonMapper MAPPER = JsonMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
            .build();

    private final List<ConfigurationFault> faults = new ArrayList<>();
    private final Set<ObjectKey> declared = new HashSet<>();
    private final ObjectParser parser = new ObjectParser();

    private ConfigurationReader() {}

    /**
     * Reads and checks a directory.
     *
     * @param directory the directory
     * @return the well-formed objects and all faults; faults include files that cannot be read
     */
    public static ConfigurationReadResult readDirectory(Path directory) {
        ConfigurationReader reader = new ConfigurationReader();
        for (Path file : reader.listJsonFiles(directory)) {
            reader.readFile(file);
        }
        return reader.check();
    }

    /**
     * Reads and checks one document.
     *
     * @param source name of the document in fault messages
     * @param json the document in UTF-8
     * @return the well-formed objects and all faults
     */
    public static ConfigurationReadResult readDocument(String source, byte[] json) {
        ConfigurationReader reader = new ConfigurationReader();
        reader.readBytes(source, json);
        return reader.check();
    }

    /**
     * Reads and checks objects that were already parsed to JSON trees.
     *
     * @param source prefix of the objects' names in fault messages, followed by their index
     * @param objects the objects
     * @return the well-formed objects and all faults
     */
    static ConfigurationReadResult readObjects(String source, Iterable<? extends JsonNode> objects) {
        ConfigurationReader reader = new ConfigurationReader();
        int index = 0;
        for (JsonNode object : objects) {
            reader.readObject(source + "[" + index + "]", object);
            index++;
        }
        return reader.check();
    }

    private ConfigurationReadResult check() {
        Configuration configuration = parser.configuration();
        ConfigurationChecker.check(configuration, declared, faults);
        return new ConfigurationReadResult(configuration, List.copyOf(faults));
    }

    private List<Path> listJsonFiles(Path directory) {
        try (Stream<Path> entries = Files.list(directory)) {
            List<Path> files = entries.filter(file -> file.toString().endsWith(".json"))
                    .sorted()
                    .toList();
            if (files.isEmpty()) {
                addFault(directory.toString(), Reason.UNREADABLE, "the directory contains no *.json file");
            }
            return files;
        } catch (IOException e) {
            addFault(directory.toString(), Reason.UNREADABLE, "not a readable directory");
            return List.of();
        }
    }

    private void readFile(Path file) {
        String source = String.valueOf(file.getFileName());
        try {
            if (Files.size(file) > MAX_DOCUMENT_BYTES) {
                addFault(source, Reason.UNREADABLE, "the file exceeds " + MAX_DOCUMENT_BYTES + " bytes");
                return;
            }
            readBytes(source, Files.readAllBytes(file));
        } catch (IOException e) {
            addFault(source, Reason.UNREADABLE, String.valueOf(e.getMessage()));
        }
    }

    private void readBytes(String source, byte[] json) {
        JsonNode document;
        try {
            document = MAPPER.readTree(json);
        } catch (JsonProcessingException e) {
            addFault(source, Reason.NOT_JSON, e.getOriginalMessage() + describeLocation(e));
            return;
        } catch (IOException e) {
            addFault(source, Reason.UNREADABLE, String.valueOf(e.getMessage()));
            return;
        }
        if (document.isObject()) {
            readObject(source, document);
        } else if (document.isArray()) {
            for (int i = 0; i < document.size(); i++) {
                readObject(source + "[" + i + "]", document.get(i));
            }
        } else {
            addFault(source, Reason.NOT_JSON, "expected an object or an array of objects");
        }
    }

    private void readObject(String location, JsonNode node) {
        if (!(node instanceof ObjectNode object)) {
            addFault(location, Reason.NOT_JSON, "expected an object");
            return;
        }
        String kindName = object.path("kind").asText("");
        Optional<ObjectKind> kind = ObjectKind.of(kindName);
        if (kind.isEmpty()) {
            faults.add(new ConfigurationFault(
                    location, "kind", Reason.UNKNOWN_KIND, "there is no kind named '" + kindName + "'"));
            return;
        }
        String name = object.path("name").asText("");
        if (!Names.isValid(name)) {
            faults.add(new ConfigurationFault(
                    location,
                    "name",
                    name.isEmpty() ? Reason.MISSING : Reason.MALFORMED,
                    "not a valid name: '" + name + "'"));
            return;
        }
        parse(new ObjectKey(kind.get(), name), object);
    }

    private void parse(ObjectKey key, ObjectNode object) {
        if (!declared.add(key)) {
            faults.add(new ConfigurationFault(
                    key.toString(), "name", Reason.DUPLICATE, "another object of this kind has the same name"));
            return;
        }
        if (declared.size() == MAX_OBJECTS + 1) {
            addFault(key.toString(), Reason.OUT_OF_RANGE, "more than " + MAX_OBJECTS + " objects");
        }
        parser.parse(key.kind(), key.name(), new ObjectFields(key.toString(), object, faults));
    }

    private void addFault(String location, Reason reason, String detail) {
        faults.add(new ConfigurationFault(location, ConfigurationFault.WHOLE_OBJECT, reason, detail));
    }

    private static String describeLocation(JsonProcessingException e) {
        return e.getLocation() == null
                ? ""
                : " at line " + e.getLocation().getLineNr() + ", column "
                        + e.getLocation().getColumnNr();
    }
}
