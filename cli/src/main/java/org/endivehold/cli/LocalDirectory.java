package org.endivehold.cli;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.OptionalLong;
import org.endivehold.config.Configuration;
import org.endivehold.config.ConfigurationFault;
import org.endivehold.config.ConfigurationReadResult;
import org.endivehold.config.ConfigurationReader;
import org.endivehold.config.ConfigurationWriter;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;

/** A local configuration directory, with a file that records the revision it was last published as. */
final class LocalDirectory {
    static final String REVISION_FILE = ".endivehold-revision";

    private final Path path;

    LocalDirectory(String path) {
        this.path = Path.of(path);
    }

    ConfigurationReadResult read() {
        return ConfigurationReader.readDirectory(path);
    }

    /** Returns the configuration; fails with a message that lists every fault if there are any. */
    Configuration validConfiguration() throws EndiveholdException {
        ConfigurationReadResult reading = read();
        if (reading.faults().isEmpty()) {
            return reading.configuration();
        }
        StringBuilder lines =
                new StringBuilder(path + " has " + reading.faults().size() + " faults");
        for (ConfigurationFault fault : reading.faults()) {
            lines.append(System.lineSeparator()).append("  ").append(fault);
        }
        throw new ToolFailure(
                ErrorType.CONFIG_INVALID, lines.toString(), "correct the faults and run 'endivehold check' again");
    }

    /** Returns the objects of a configuration in canonical form. */
    static JsonArray objects(Configuration configuration) {
        return new JsonArray(
                new String(ConfigurationWriter.canonical(configuration), java.nio.charset.StandardCharsets.UTF_8));
    }

    static JsonArray faults(ConfigurationReadResult reading) {
        JsonArray faults = new JsonArray();
        reading.faults()
                .forEach(fault -> faults.add(new JsonObject()
                        .put("object", fault.object())
                        .put("field", fault.field())
                        .put("reason", fault.reason().label())
                        .put("detail", fault.detail())));
        return faults;
    }

    /** Returns the recorded revision; empty if there is no readable record. */
    OptionalLong recordedRevision() {
        try {
            return OptionalLong.of(
                    Long.parseLong(Files.readString(path.resolve(REVISION_FILE)).strip()));
        } catch (IOException | NumberFormatException e) {
            return OptionalLong.empty();
        }
    }

    /** Records the revision that the directory was published as; returns false if the file cannot be written. */
    boolean recordRevision(long revision) {
        try {
            Files.writeString(path.resolve(REVISION_FILE), revision + "\n");
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
