package org.endivehold.config;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.endivehold.error.EndiveholdException;

/** Configurations for tests. */
final class ConfigurationSamples {
    /** Directory of the example configurations, relative to the module. */
    static final Path EXAMPLES = Path.of("..", "examples");

    private ConfigurationSamples() {}

    static Configuration quito() throws EndiveholdException {
        return ConfigurationReader.readDirectory(EXAMPLES.resolve("quito")).orThrow();
    }

    /** Returns a configuration of two zones; {@code stateOfNorth} is {@code in} or {@code out}. */
    static Configuration zones(String stateOfNorth) {
        return read("[" + zone("north", stateOfNorth) + "," + zone("south", "in") + "]");
    }

    static Configuration read(String json) {
        ConfigurationReadResult reading =
                ConfigurationReader.readDocument("test", json.getBytes(StandardCharsets.UTF_8));
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
