package org.endivehold.config;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.endivehold.error.EndiveholdException;

/** Configurations for tests. */
final class ConfigurationSamples {
    /** Root of the examples, seen from the module. */
    static final Path EXAMPLES = Path.of("..", "examples");

    private ConfigurationSamples() {}

    static Configuration quito() throws EndiveholdException {
        return ConfigurationReader.readDirectory(EXAMPLES.resolve("quito")).orThrow();
    }

    /** A configuration of two zones, of which one is out or in. */
    static Configuration zones(String stateOfNorth) {
        return read("[" + zone("north", stateOfNorth) + "," + zone("south", "in") + "]");
    }

    static Configuration read(String json) {
        ConfigurationReading reading = ConfigurationReader.readDocument("test", json.getBytes(StandardCharsets.UTF_8));
        try {
            return reading.orThrow();
        } catch (EndiveholdException e) {
            throw new AssertionError(e);
        }
    }

    static String zone(String name, String state) {
        return "{\"kind\":\"AvailabilityZone\",\"name\":\"" + name + "\",\"region\":\"r\",\"state\":\"" + state + "\"}";
    }
}
