package org.endivehold.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.endivehold.config.ConfigurationFault.Reason;
import org.endivehold.error.EndiveholdException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvFileSource;
import org.junit.jupiter.params.provider.ValueSource;

class ConfigurationReaderTest {
    private static final String VALID_OBJECTS =
            """
            {"kind":"Model","name":"m","maxContextTokens":1000},
            {"kind":"Version","name":"v","model":"m","weightBytes":1},
            {"kind":"AvailabilityZone","name":"z","region":"r"},
            {"kind":"Upstream","name":"e","zone":"z","address":"10.0.0.1","port":1,"versions":["v"],
             "memoryTokens":10,"prefillTokensPerSecond":10},
            {"kind":"Upstream","type":"plain","name":"p","zone":"z","address":"::1","port":1},
            {"kind":"Route","name":"g","version":"v"},
            {"kind":"Customer","name":"c",
             "keyHashes":["0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"]}
            """;

    private static List<ConfigurationFault> faults(String json) {
        return ConfigurationReader.readDocument("doc", json.getBytes(StandardCharsets.UTF_8))
                .faults();
    }

    @Test
    void acceptsAValidDocument() {
        assertEquals(List.of(), faults("[" + VALID_OBJECTS + "]"));
    }

    @ParameterizedTest
    @CsvFileSource(resources = "configuration-faults.csv", delimiter = '|', quoteCharacter = '\'')
    void reportsObjectFieldAndReason(String extra, String object, String field, Reason reason) {
        List<ConfigurationFault> found = faults("[" + VALID_OBJECTS + "," + extra + "]");
        boolean reported = found.stream()
                .anyMatch(fault ->
                        fault.object().equals(object) && fault.field().equals(field) && fault.reason() == reason);
        assertTrue(reported, found::toString);
    }

    @Test
    void listsAllFaultsAtOnce() {
        List<ConfigurationFault> found = faults(
                """
                [{"kind":"Version","name":"v","model":"gone","weightBytes":-1},
                 {"kind":"Route","name":"r","version":"absent","maxDeadlineMillis":-5},
                 {"kind":"Nothing"}]
                """);
        assertEquals(6, found.size(), found::toString);
    }

    @Test
    void malformedObjectCausesNoDanglingReferenceToIt() {
        List<ConfigurationFault> found = faults(
                """
                [{"kind":"Model","name":"m"}, {"kind":"Version","name":"v","model":"m","weightBytes":1}]
                """);
        assertEquals(1, found.size(), found::toString);
        assertEquals("Model/m", found.get(0).object());
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "[", "{\"kind\":\"Model\",\"kind\":\"Route\"}", "[] []", "nul", "[1", "\"x\""})
    void rejectsWhatIsNotJson(String text) {
        assertEquals(1, faults(text).size());
    }

    @ParameterizedTest
    @ValueSource(strings = {"quito", "fondo"})
    void examplesAreValidAndRoundTrip(String site) throws EndiveholdException {
        Configuration read = ConfigurationReader.readDirectory(ConfigurationSamples.EXAMPLES.resolve(site))
                .orThrow();
        byte[] canonical = ConfigurationWriter.canonical(read);
        Configuration again =
                ConfigurationReader.readDocument("canonical", canonical).orThrow();
        assertEquals(read, again);
        assertEquals(ConfigurationWriter.digest(read), ConfigurationWriter.digest(again));
        assertEquals(read, ConfigurationPacker.unpack(ConfigurationPacker.pack(read)));
    }

    @Test
    void deltaTurnsOneConfigurationIntoTheOther() throws EndiveholdException {
        Configuration north = ConfigurationSamples.zones("out");
        Configuration south = ConfigurationSamples.read("[" + ConfigurationSamples.zone("south", "out") + "]");
        ConfigurationDelta delta = ConfigurationDelta.between(north, south);
        assertEquals(1, delta.changed().size());
        assertEquals(List.of("AvailabilityZone/north"), delta.removed());
        assertEquals(south, delta.applyTo(north));
    }

    @Test
    void changeListsFieldsWithOldAndNewValues() {
        List<ObjectChange> changes =
                ObjectChange.between(ConfigurationSamples.zones("in"), ConfigurationSamples.zones("out"));
        assertEquals("[AvailabilityZone/north state \"in\" -> \"out\"]", changes.toString());
    }
}
