package org.endivehold.daemon.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** Checks that the settings reference page has exactly one row for each field of the schema. */
class SettingsReferenceTest {
    private static final Path PAGE = Path.of("..", "docs", "SETTINGS.md");

    @Test
    void pageMatchesTheSchema() throws IOException {
        List<String> expected = new ArrayList<>();
        rows("", SettingsReader.schema(), SettingsReader.defaults(), expected);
        List<String> written = Files.readAllLines(PAGE).stream()
                .filter(line -> line.startsWith("| `"))
                .toList();
        assertEquals(String.join("\n", new TreeSet<>(expected)), String.join("\n", new TreeSet<>(written)));
    }

    @Test
    void everyFieldHasADescription() {
        List<String> rows = new ArrayList<>();
        rows("", SettingsReader.schema(), SettingsReader.defaults(), rows);
        assertTrue(rows.stream().noneMatch(row -> row.endsWith("|  |")), rows.toString());
    }

    private static void rows(String path, JsonObject schema, JsonNode defaults, List<String> rows) {
        for (Map.Entry<String, Object> entry : schema.getJsonObject("properties")) {
            JsonObject field = (JsonObject) entry.getValue();
            String name = path.isEmpty() ? entry.getKey() : path + "." + entry.getKey();
            JsonNode value = defaults.path(entry.getKey());
            if ("object".equals(field.getString("type"))) {
                rows(name, field, value, rows);
            } else {
                rows.add(row(name, field, value));
            }
        }
    }

    private static String row(String name, JsonObject field, JsonNode value) {
        String type = field.containsKey("enum")
                ? String.join(
                        ", ",
                        field.getJsonArray("enum").stream().map(String::valueOf).toList())
                : field.getString("type");
        if (field.containsKey("maximum")) {
            type += " " + field.getValue("minimum") + " to " + field.getValue("maximum");
        }
        String shown = value.isMissingNode() ? "none" : value.asText();
        return "| `" + name + "` | " + type + " | " + shown + " | " + field.getString("description", "") + " |";
    }
}
