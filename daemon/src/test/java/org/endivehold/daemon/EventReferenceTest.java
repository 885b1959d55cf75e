package org.endivehold.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks that the reference page lists exactly the metrics and log events that the daemon's sources use. */
class EventReferenceTest {
    private static final Path PAGE = Path.of("..", "docs", "METRICS-AND-LOGS.md");
    private static final List<Path> SOURCES = List.of(
            Path.of("src", "main", "java"),
            Path.of("..", "core", "src", "main", "java"),
            Path.of("..", "http", "src", "main", "java"),
            Path.of("..", "wire", "src", "main", "java"),
            Path.of("..", "relay", "src", "main", "java"),
            Path.of("..", "platform", "src", "main", "java"));

    @Test
    void pageNamesEveryLogEvent() throws IOException {
        compare("LogEvent\\.of\\(\\s*\"([a-z-]+)\"\\)", "^\\| `([a-z-]+)` \\|");
    }

    @Test
    void pageNamesEveryMetric() throws IOException {
        compare("\"(endivehold\\.[a-z.]+)\"", "^\\| `(endivehold\\.[a-z.]+)` \\|");
    }

    private static void compare(String inCode, String inPage) throws IOException {
        Set<String> used = new TreeSet<>();
        for (Path source : SOURCES) {
            used.addAll(found(source, inCode));
        }
        assertFalse(used.isEmpty());
        assertEquals(used, matches(Files.readString(PAGE), inPage));
    }

    private static Set<String> found(Path folder, String pattern) throws IOException {
        Set<String> found = new TreeSet<>();
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.filter(f -> f.toString().endsWith(".java")).toList()) {
                found.addAll(matches(Files.readString(file), pattern));
            }
        }
        return found;
    }

    private static Set<String> matches(String text, String pattern) {
        return Pattern.compile(pattern, Pattern.MULTILINE)
                .matcher(text)
                .results()
                .map((MatchResult match) -> match.group(1))
                .collect(Collectors.toCollection(TreeSet::new));
    }
}
