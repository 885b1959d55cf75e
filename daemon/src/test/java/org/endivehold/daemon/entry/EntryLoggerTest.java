package org.endivehold.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import org.jboss.logging.Logger;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class EntryLoggerTest {
    private static final String NAME = "org.endivehold.EntryLoggerTest";

    private final List<String> lines = new ArrayList<>();
    private final KeyValueFormatter formatter = new KeyValueFormatter();
    /** A logger of the JDK itself, as in the packaged daemon; the log manager of the tests has its own. */
    private final java.util.logging.Logger target = new java.util.logging.Logger(NAME, null) {};

    private final Logger log = new EntryLogger(target);
    private final Handler handler = new Handler() {
        @Override
        public void publish(LogRecord record) {
            String line = formatter.format(record);
            lines.add(line.substring(line.indexOf(' ') + 1, line.length() - 1));
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    };

    @BeforeEach
    void addHandler() {
        target.setLevel(java.util.logging.Level.INFO);
        target.addHandler(handler);
    }

    /** Guards against lines that show the JDK's names of levels, which those who read the logs do not search for. */
    @Test
    void linesShowTheLevelsOfTheLoggingLibrary() {
        log.info("event=a");
        log.warn("event=b");
        log.error("event=c");
        assertEquals(
                List.of(
                        "level=INFO logger=EntryLoggerTest event=a",
                        "level=WARN logger=EntryLoggerTest event=b",
                        "level=ERROR logger=EntryLoggerTest event=c"),
                lines);
    }

    /** Guards against text that is taken for a pattern: it holds bytes of callers. */
    @Test
    void textWithoutParametersIsLoggedAsItIs() {
        log.info("event=a reason=\"{0} it's 5%s\"");
        log.infof("event=b n=%d", 5);
        log.warn("event=c", new IOException("d"));
        assertEquals(
                List.of(
                        "level=INFO logger=EntryLoggerTest event=a reason=\"{0} it's 5%s\"",
                        "level=INFO logger=EntryLoggerTest event=b n=5",
                        "level=WARN logger=EntryLoggerTest event=c exception=\"java.io.IOException: d\""),
                lines);
    }

    @Test
    void linesBelowTheLevelOfTheLoggerAreLeftOut() {
        log.debug("event=a");
        log.trace("event=b");
        assertEquals(List.of(), lines);
        assertFalse(log.isDebugEnabled());
        assertTrue(log.isInfoEnabled());
    }
}
