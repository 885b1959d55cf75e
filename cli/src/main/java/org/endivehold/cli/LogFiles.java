package org.endivehold.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;

/** Reads the log files of daemons. */
final class LogFiles {
    private LogFiles() {}

    /**
     * Returns the events of several files; lines that no daemon wrote are left out.
     *
     * @throws EndiveholdException if a file cannot be read
     */
    static List<LogLine> read(List<String> files) throws EndiveholdException {
        List<LogLine> lines = new ArrayList<>();
        for (String file : files) {
            lines.addAll(read(file));
        }
        return lines;
    }

    private static List<LogLine> read(String file) throws EndiveholdException {
        try (Stream<String> all = Files.lines(Path.of(file))) {
            return all.flatMap(line -> LogLine.parse(file, line).stream()).toList();
        } catch (IOException e) {
            throw new ToolFailure(
                    ErrorType.OBJECT_UNKNOWN,
                    "the log file " + file + " cannot be read",
                    "check the path and its permissions");
        }
    }
}
