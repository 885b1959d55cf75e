package org.endivehold.daemon.entry;

import java.time.Instant;
import java.time.format.DateTimeFormatter;
import java.time.format.DateTimeFormatterBuilder;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/**
 * Formats a log record as one line of key=value pairs: the time in UTC, the level, the simple name of the logger, and
 * the message, which consists of such pairs itself. An exception is added as one more pair.
 */
final class KeyValueFormatter extends Formatter {
    private static final int FRACTION_DIGITS = 3;
    private static final DateTimeFormatter TIME =
            new DateTimeFormatterBuilder().appendInstant(FRACTION_DIGITS).toFormatter();

    @Override
    public String format(LogRecord record) {
        StringBuilder line = new StringBuilder("time=");
        TIME.formatTo(Instant.ofEpochMilli(record.getMillis()), line);
        line.append(" level=").append(levelName(record));
        line.append(" logger=").append(simpleName(record.getLoggerName())).append(' ');
        line.append(formatMessage(record));
        if (record.getThrown() != null) {
            line.append(" exception=\"").append(escape(record.getThrown())).append('"');
        }
        return line.append('\n').toString();
    }

    private static String levelName(LogRecord record) {
        return record instanceof EntryLogger.Line line
                ? line.levelName()
                : record.getLevel().getName();
    }

    private static String simpleName(String logger) {
        return logger == null ? "-" : logger.substring(logger.lastIndexOf('.') + 1);
    }

    private static String escape(Throwable thrown) {
        return thrown.toString().replace("\"", "\\\"").replace('\n', ' ');
    }
}
