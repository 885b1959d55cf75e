package org.endivehold.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A log that nobody reads stopped the thread that logged, which was the event loop. */
class QueuedLogHandlerTest {
    private static final int LINES = 20_000;
    private static final long LIMIT_MILLIS = 10_000;

    private final CountDownLatch read = new CountDownLatch(1);
    private final ByteArrayOutputStream written = new ByteArrayOutputStream();
    private final QueuedLogHandler handler = new QueuedLogHandler(new UnreadOutput(), new KeyValueFormatter());

    /** An output that takes nothing until somebody reads. */
    private final class UnreadOutput extends OutputStream {
        @Override
        public void write(int value) throws IOException {
            write(new byte[] {(byte) value}, 0, 1);
        }

        @Override
        public void write(byte[] bytes, int offset, int length) throws IOException {
            try {
                read.await();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            written.write(bytes, offset, length);
        }
    }

    private void log(int number) {
        handler.publish(new LogRecord(Level.INFO, "event=test number=" + number + " text=" + "x".repeat(100)));
    }

    @Test
    @Timeout(20)
    void whoeverLogsDoesNotWaitForWhoeverReads() {
        for (int i = 0; i < LINES; i++) {
            log(i);
        }
        assertFalse(handler.awaitWritten(1));
        read.countDown();
        assertTrue(handler.awaitWritten(LIMIT_MILLIS));
        log(LINES);
        assertTrue(handler.awaitWritten(LIMIT_MILLIS));
        List<String> lines = written.toString(StandardCharsets.UTF_8).lines().toList();
        long kept = lines.stream().filter(line -> line.contains("event=test")).count();
        long dropped = lines.stream()
                .filter(line -> line.contains("event=log-lines-dropped"))
                .mapToLong(line -> Long.parseLong(line.substring(line.lastIndexOf('=') + 1)))
                .sum();
        assertTrue(dropped > 0);
        assertEquals(LINES + 1, kept + dropped);
    }

    @Test
    @Timeout(20)
    void linesAreWrittenWholeAndInOrder() {
        read.countDown();
        for (int i = 0; i < 100; i++) {
            log(i);
        }
        assertTrue(handler.awaitWritten(LIMIT_MILLIS));
        List<String> lines = written.toString(StandardCharsets.UTF_8).lines().toList();
        for (int i = 0; i < 100; i++) {
            assertTrue(lines.get(i).contains("number=" + i + " "), lines.get(i));
        }
    }
}
