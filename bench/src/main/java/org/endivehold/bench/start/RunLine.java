package org.endivehold.bench.start;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.toml.TomlFactory;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;

/** The command that starts a packaged daemon, as the file for the platform states it: words separated by spaces. */
public final class RunLine {
    private final List<String> words;

    private RunLine(List<String> words) {
        this.words = List.copyOf(words);
    }

    /**
     * Reads the command of the role {@code endiveholdd}.
     *
     * @param file the file for the platform, in TOML
     * @throws EndiveholdException of type {@code SETTINGS_INVALID} if the file cannot be read or has no such command
     */
    public static RunLine read(Path file) throws EndiveholdException {
        try {
            JsonNode run = new ObjectMapper(new TomlFactory())
                    .readTree(file.toFile())
                    .path("roles")
                    .path("endiveholdd")
                    .path("run");
            if (!run.isTextual()) {
                throw new EndiveholdException(ErrorType.SETTINGS_INVALID, file, "has no roles.endiveholdd.run");
            }
            return of(run.asText());
        } catch (IOException e) {
            throw new EndiveholdException(ErrorType.SETTINGS_INVALID, file, e.getMessage());
        }
    }

    /** Returns the command that consists of the words of a line. */
    public static RunLine of(String line) {
        return new RunLine(split(line));
    }

    /** Returns the command with further options of the JVM; they take precedence over equal ones in it. */
    public RunLine with(String options) {
        List<String> all = new ArrayList<>(words);
        all.addAll(Math.max(0, all.indexOf("-jar")), split(options));
        return new RunLine(all);
    }

    /** Returns the words. */
    public List<String> words() {
        return words;
    }

    private static List<String> split(String line) {
        return line.isBlank() ? List.of() : List.of(line.strip().split(" +"));
    }
}
