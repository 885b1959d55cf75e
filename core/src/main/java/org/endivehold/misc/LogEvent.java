package org.endivehold.misc;

import java.util.Locale;
import org.jboss.logging.Logger;

/**
 * One log event, written as a line of key=value pairs. Values with spaces, quotes, equals signs or control characters
 * are quoted, and control characters in them are escaped.
 *
 * <p>The number of lines per second is limited for each event name. If lines were dropped, a line with their number
 * precedes the next line of that name ({@link LogRateLimiter}).
 *
 * <p>Example: {@code LogEvent.of("stream-ended").with("request", id).with("tokens", 12).info(log)}.
 */
public final class LogEvent {
    private static final LogRateLimiter LIMIT = new LogRateLimiter();
    private static final Ticker TICKER = Ticker.system();

    private final String event;
    private final StringBuilder line = new StringBuilder("event=");

    private LogEvent(String event) {
        this.event = event;
        line.append(event);
    }

    /**
     * Starts an event.
     *
     * @param event name of the event, words joined by hyphens; lines are rate-limited by it
     * @return the event
     */
    public static LogEvent of(String event) {
        return new LogEvent(event);
    }

    /**
     * Adds a key-value pair.
     *
     * @param key the key, in lower case
     * @param value the value; null is written as {@code -}
     * @return this event
     */
    public LogEvent with(String key, Object value) {
        line.append(' ').append(key).append('=').append(quote(value));
        return this;
    }

    /**
     * Writes the line at level info.
     *
     * @param log the logger
     */
    public void info(Logger log) {
        write(log, Logger.Level.INFO);
    }

    /**
     * Writes the line at level warning.
     *
     * @param log the logger
     */
    public void warn(Logger log) {
        write(log, Logger.Level.WARN);
    }

    /**
     * Writes the line at level debug.
     *
     * @param log the logger
     */
    public void debug(Logger log) {
        write(log, Logger.Level.DEBUG);
    }

    private void write(Logger log, Logger.Level level) {
        if (!log.isEnabled(level)) {
            return;
        }
        LogRateLimiter.Verdict verdict = LIMIT.admit(event, TICKER.millis());
        if (verdict.droppedBefore() > 0) {
            log.log(level, "event=lines-dropped kind=" + event + " count=" + verdict.droppedBefore());
        }
        if (verdict.write()) {
            log.log(level, line);
        }
    }

    @Override
    public String toString() {
        return line.toString();
    }

    private static String quote(Object value) {
        String text = value == null ? "-" : value.toString();
        boolean plain = !text.isEmpty();
        for (int i = 0; plain && i < text.length(); i++) {
            char c = text.charAt(i);
            plain = c > ' ' && c != '"' && c != '=' && c != 127;
        }
        if (plain) {
            return text;
        }
        StringBuilder quoted = new StringBuilder("\"");
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c == '"' || c == '\\') {
                quoted.append('\\').append(c);
            } else if (c < ' ' || c == 127) {
                quoted.append(String.format(Locale.ROOT, "\\u%04x", (int) c));
            } else {
                quoted.append(c);
            }
        }
        return quoted.append('"').toString();
    }
}
