package org.endivehold.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.time.Instant;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;

class KeyValueFormatterTest {
    private final KeyValueFormatter formatter = new KeyValueFormatter();

    private static LogRecord message(String logger, Level level, String text, String time) {
        LogRecord line = new LogRecord(level, text);
        line.setLoggerName(logger);
        line.setInstant(Instant.parse(time));
        return line;
    }

    @Test
    void aRecordIsOneLineWithTimeLevelLoggerAndMessage() {
        LogRecord line = message("org.endivehold.A", Level.INFO, "event=x n={0} 'a'", "2026-12-04T09:27:05.450Z");
        assertEquals("time=2026-12-04T09:27:05.450Z level=INFO logger=A event=x n={0} 'a'\n", formatter.format(line));
    }

    @Test
    void theTimeAlwaysHasMilliseconds() {
        LogRecord line = message("A", Level.WARNING, "event=x", "2026-12-04T09:27:05Z");
        assertEquals("time=2026-12-04T09:27:05.000Z level=WARNING logger=A event=x\n", formatter.format(line));
    }

    /** Libraries pass exceptions, whose messages may have several lines. */
    @Test
    void anExceptionIsOneMorePairOfTheSameLine() {
        LogRecord line = message(null, Level.SEVERE, "event=x", "2026-12-04T09:27:05Z");
        line.setThrown(new IOException("a \"b\"\nc"));
        assertEquals(
                "time=2026-12-04T09:27:05.000Z level=SEVERE logger=- event=x"
                        + " exception=\"java.io.IOException: a \\\"b\\\" c\"\n",
                formatter.format(line));
    }
}
