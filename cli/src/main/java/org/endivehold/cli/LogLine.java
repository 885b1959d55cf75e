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
 * @param file file that it stands in
 * @param atMillis time of the event, in milliseconds since 1970
 * @param pairs the keys and values, in order
 */
record LogLine(String file, long atMillis, Map<String, String> pairs) {
    private static final Pattern PAIR = Pattern.compile("([a-z_]+)=(\"(?:[^\"\\\\]|\\\\.)*\"|\\S*)");

    /** Reads a line; empty if it is none of a daemon. Whatever stands before its first pair is ignored. */
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

    String value(String key) {
        return pairs.getOrDefault(key, "");
    }

    /** Returns a number, or 0 if there is none. */
    long number(String key) {
        String text = value(key);
        return text.matches("-?[0-9]{1,18}") ? Long.parseLong(text) : 0;
    }

    /** Returns when the request that this line tells of began. */
    long begunMillis() {
        return atMillis - number("ms");
    }
}
