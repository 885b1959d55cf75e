package org.endivehold.daemon.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.json.JsonObject;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SettingsReaderTest {
    @TempDir
    private Path folder;

    private JsonObject valid;

    @BeforeEach
    void writeToken() throws Exception {
        Path token = Files.writeString(folder.resolve("token"), "secret");
        valid = new JsonObject()
                .put("host", "h1")
                .put("zone", "z1")
                .put("operators", new JsonObject().put("tokenFile", token.toString()))
                .put("store", new JsonObject().put("endpoints", List.of("http://127.0.0.1:1")));
    }

    private List<String> faultPaths(JsonObject settings) {
        SettingsException e = assertThrows(SettingsException.class, () -> SettingsReader.parse(settings.encode()));
        return e.faults().stream().map(SettingsFault::path).toList();
    }

    @Test
    void fillsInDefaults() throws Exception {
        Settings settings = SettingsReader.parse(valid.encode());
        assertEquals("h1", settings.host().value());
        assertEquals(8080, settings.callers().port());
        assertEquals("cold-share", settings.capacity().policy());
        assertTrue(settings.peers().tls().isEmpty());
    }

    @ParameterizedTest
    @CsvSource({
        "callers, port, 70000, /callers/port",
        "limits, maxBodyBytes, 1, /limits/maxBodyBytes",
        "capacity, policy, 0, /capacity/policy",
        "membership, renewMillis, 7000, /membership/renewMillis",
        "retry, maxAttempts, 0, /retry/maxAttempts",
    })
    void reportsPathOfInvalidField(String section, String field, int value, String path) {
        valid.put(section, new JsonObject().put(field, value));
        assertEquals(List.of(path), faultPaths(valid).stream().distinct().toList());
    }

    @Test
    void listsAllFaultsAtOnce() {
        valid.put("callers", new JsonObject().put("port", "eighty"));
        valid.put("colour", "green");
        valid.remove("zone");
        List<String> paths = faultPaths(valid);
        assertEquals(List.of("/", "/callers/port", "/colour"), paths);
    }

    @Test
    void reportsPathOfFieldWithMissingFile() {
        valid.getJsonObject("operators").put("tokenFile", folder.resolve("none").toString());
        assertEquals(List.of("/operators/tokenFile"), faultPaths(valid));
    }

    @ParameterizedTest
    @CsvSource({"nothing", "[]", "{"})
    void rejectsTextThatIsNotJsonObject(String text) {
        assertThrows(SettingsException.class, () -> SettingsReader.parse(text));
    }
}
