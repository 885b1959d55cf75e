package org.endivehold.cli;

import java.time.DateTimeException;
import java.time.OffsetDateTime;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One line of a daemon's log.
 *
 * @param file name of the log file
 * @param atMillis time of the event, in milliseconds since 1970
 * @param pairs the keys and values, in the order of the line
 */
record LogLine(String file, long atMillis, Map<String, String> pairs) {
    private static final Pattern PAIR = Pattern.compile("([a-z_]+)=(\"(?:[^\"\\\\]|\\\\.)*\"|\\S*)");

    /** Parses a line; empty if it was not written by a daemon. Text before the first pair is ignored. */
    static Optional<LogLine> parse(String file, String line) {
        if (!line.contains("event=") || !line.contains("time=")) {
            return Optional.empty();
        }
        Map<String, String> pairs = new LinkedHashMap<>();
        Matcher matcher = PAIR.matcher(line);
        while (matcher.find()) {
            pairs.putIfAbsent(matcher.group(1), unquote(matcher.group(2)));
        }
        try {
            long at = OffsetDateTime.parse(pairs.get("time")).toInstant().toEpochMilli();
            return Optional.of(new LogLine(file, at, pairs));
        } catch (DateTimeException e) {
            return Optional.empty();
        }
    }

    private static String unquote(String value) {
        boolean quoted = value.length() > 1 && value.startsWith("\"") && value.endsWith("\"");
        return quoted ? value.substring(1, value.length() - 1).replaceAll("\\\\(.)", "$1") : value;
    }

    String event() {
        return value("event");
    }

    /** Returns the value of a key; empty if it is absent. */
    String value(String key) {
        return pairs.getOrDefault(key, "");
    }

    /** Returns the integer value of a key, or 0 if it is absent or not an integer. */
    long number(String key) {
        String text = value(key);
        return text.matches("-?[0-9]{1,18}") ? Long.parseLong(text) : 0;
    }

    /** Returns when the request of a {@code request-ended} line began, in milliseconds since 1970. */
    long startMillis() {
        return atMillis - number("ms");
    }
}
