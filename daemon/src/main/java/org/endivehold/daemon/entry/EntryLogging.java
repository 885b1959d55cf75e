package org.endivehold.daemon.entry;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;

/**
 * Sends all log lines of the daemon of an entry host to standard output through the JDK's own logging, which starts in
 * a fraction of the time of a log manager that is configured by a file.
 */
final class EntryLogging {
    /** Longest wait for the last lines before the process ends, in milliseconds. */
    private static final long LAST_LINES_MILLIS = 200;

    /** Logs only warnings and errors; kept in a field, since the log manager refers to loggers weakly. */
    private static final Logger NETTY_LOGGER = Logger.getLogger("io.netty");

    private static final QueuedLogHandler HANDLER =
            new QueuedLogHandler(new FileOutputStream(FileDescriptor.out), new KeyValueFormatter());

    private EntryLogging() {}

    /** Replaces the handlers of the root logger. */
    static void install() {
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        Logger root = LogManager.getLogManager().getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        root.addHandler(HANDLER);
        NETTY_LOGGER.setLevel(Level.WARNING);
    }

    /** Gives the last lines a short time to be written; the process may end after it. */
    static void awaitLastLines() {
        HANDLER.awaitWritten(LAST_LINES_MILLIS);
    }
}
