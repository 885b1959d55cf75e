package org.endivehold.daemon.entry;

/**
 * Takes the place of the JDK's {@code logging.properties}, so that the JDK's log manager creates no console handler at
 * a start; {@link EntryLogging} adds the only handler. The run line names this class in the system property
 * {@code java.util.logging.config.class}.
 */
public final class LogConfiguration {
    /** Is called by the log manager; leaves all its defaults, which log from level INFO up. */
    public LogConfiguration() {}
}
