package org.endivehold.daemon.entry;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.StreamHandler;

/**
 * Sends all log lines of the daemon of an entry host to standard output through the JDK's own logging, which starts in
 * a fraction of the time of a log manager that is configured by a file.
 */
final class EntryLogging {
    /** Logs only warnings and errors; kept in a field, since the log manager refers to loggers weakly. */
    private static final Logger NETTY_LOGGER = Logger.getLogger("io.netty");

    private EntryLogging() {}

    /** Writes each line at once, so that the last lines of a process that is killed are not lost. */
    private static final class StandardOutputHandler extends StreamHandler {
        StandardOutputHandler() {
            super(System.out, new KeyValueFormatter());
        }

        @Override
        public synchronized void publish(LogRecord record) {
            super.publish(record);
            flush();
        }
    }

    /** Replaces the handlers of the root logger. */
    static void install() {
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        Logger root = LogManager.getLogManager().getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        root.addHandler(new StandardOutputHandler());
        NETTY_LOGGER.setLevel(Level.WARNING);
    }
}
