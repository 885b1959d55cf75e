package org.endivehold.daemon.entry;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.endivehold.misc.LogEvent;

/**
 * Writes log lines on a thread of its own, so that whoever logs never waits for whoever reads the log.
 *
 * <p>The lines wait in a bounded queue. While it is full, lines are dropped and counted; the count is logged as soon as
 * there is room again. All lines that wait are written at once. Example: a reader that stops for 20 s while 100 lines a
 * second of 250 characters are logged leaves 1 MiB of them in the queue and misses none.
 */
final class QueuedLogHandler extends Handler {
    /** Most characters that wait to be written. */
    static final int MAX_QUEUED_CHARS = 1 << 20;

    private final OutputStream out;
    private final Formatter formatter;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    private StringBuilder queued = new StringBuilder();
    private long dropped;
    private boolean writing;
    private Thread writer;

    /** Creates a handler that writes to {@code out}; its thread starts with the first line. */
    QueuedLogHandler(OutputStream out, Formatter formatter) {
        this.out = out;
        this.formatter = formatter;
    }

    @Override
    public void publish(LogRecord record) {
        if (!isLoggable(record)) {
            return;
        }
        String line = formatter.format(record);
        lock.lock();
        try {
            enqueue(line);
            startWriter();
            changed.signalAll();
        } finally {
            lock.unlock();
        }
    }

    private void enqueue(String line) {
        if (queued.length() + line.length() > MAX_QUEUED_CHARS) {
            dropped++;
            return;
        }
        if (dropped > 0) {
            queued.append(droppedLine());
            dropped = 0;
        }
        queued.append(line);
    }

    /** Returns the line that tells how many were dropped; it may exceed the bound of the queue by its length. */
    private String droppedLine() {
        LogEvent event = LogEvent.of("log-lines-dropped").with("lines", dropped);
        LogRecord record = new LogRecord(Level.WARNING, event.toString());
        record.setLoggerName(QueuedLogHandler.class.getName());
        return formatter.format(record);
    }

    private void startWriter() {
        if (writer == null) {
            writer = new Thread(this::writeLines, "log-writer");
            writer.setDaemon(true);
            writer.start();
        }
    }

    private void writeLines() {
        try {
            while (true) {
                out.write(takeQueued().getBytes(StandardCharsets.UTF_8));
                out.flush();
            }
        } catch (IOException e) {
            // Nobody can read the log any more, so there is nowhere to report this; the queue fills and lines are
            // dropped.
            return;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits for lines and takes all of them; what was taken before has been written. */
    private String takeQueued() throws InterruptedException {
        lock.lock();
        try {
            writing = false;
            changed.signalAll();
            while (queued.length() == 0) {
                changed.await();
            }
            if (dropped > 0) {
                queued.append(droppedLine());
                dropped = 0;
            }
            String lines = queued.toString();
            queued = new StringBuilder();
            writing = true;
            return lines;
        } finally {
            lock.unlock();
        }
    }

    /** Waits until all lines so far have been written, but no longer than the given time; returns whether they were. */
    boolean awaitWritten(long millis) {
        lock.lock();
        try {
            long nanos = TimeUnit.MILLISECONDS.toNanos(millis);
            while ((writing || queued.length() > 0) && nanos > 0) {
                nanos = changed.awaitNanos(nanos);
            }
            return !writing && queued.length() == 0;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        } finally {
            lock.unlock();
        }
    }

    /** Does nothing: lines are written as soon as they can be. */
    @Override
    public void flush() {}

    /** Does nothing: the output is that of the process. */
    @Override
    public void close() {}
}
