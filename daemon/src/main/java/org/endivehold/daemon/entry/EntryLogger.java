package org.endivehold.daemon.entry;

import java.text.MessageFormat;
import java.util.Locale;
import java.util.logging.LogRecord;
import org.jboss.logging.Logger;

/** A logger of the logging library that passes its lines to the JDK's logger of the same name. */
final class EntryLogger extends Logger {
    private static final long serialVersionUID = 1;

    private final transient java.util.logging.Logger target;

    EntryLogger(java.util.logging.Logger target) {
        super(target.getName());
        this.target = target;
    }

    /** A log record whose line shows the logging library's name of the level, for example WARN instead of WARNING. */
    static final class Line extends LogRecord {
        private static final long serialVersionUID = 1;

        private final String levelName;

        private Line(Logger.Level level, String text) {
            super(jdkLevel(level), text);
            levelName = level.name();
        }

        String levelName() {
            return levelName;
        }
    }

    @Override
    public boolean isEnabled(Logger.Level level) {
        return target.isLoggable(jdkLevel(level));
    }

    @Override
    protected void doLog(Logger.Level level, String caller, Object message, Object[] parameters, Throwable thrown) {
        if (isEnabled(level)) {
            String text = String.valueOf(message);
            boolean plain = parameters == null || parameters.length == 0;
            log(level, plain ? text : new MessageFormat(text, Locale.ROOT).format(parameters), thrown);
        }
    }

    @Override
    protected void doLogf(Logger.Level level, String caller, String format, Object[] parameters, Throwable thrown) {
        if (isEnabled(level)) {
            boolean plain = parameters == null || parameters.length == 0;
            log(level, plain ? format : String.format(Locale.ROOT, format, parameters), thrown);
        }
    }

    private void log(Logger.Level level, String text, Throwable thrown) {
        Line line = new Line(level, text);
        line.setLoggerName(getName());
        line.setThrown(thrown);
        target.log(line);
    }

    private static java.util.logging.Level jdkLevel(Logger.Level level) {
        return switch (level) {
            case FATAL, ERROR -> java.util.logging.Level.SEVERE;
            case WARN -> java.util.logging.Level.WARNING;
            case INFO -> java.util.logging.Level.INFO;
            case DEBUG -> java.util.logging.Level.FINE;
            case TRACE -> java.util.logging.Level.FINER;
        };
    }
}
