package org.endivehold.daemon.entry;

import java.util.Map;
import org.jboss.logging.Logger;
import org.jboss.logging.LoggerProvider;

/**
 * Passes the log lines of the packaged daemon to the JDK's logging with the JDK's own levels.
 *
 * <p>The logging library's provider for the JDK defines levels of its own. The JDK links several method handles for a
 * level that another class loader defines, which takes a good part of a start. Only the packaged jar registers this
 * provider; there is no diagnostic context.
 */
public final class EntryLoggerProvider implements LoggerProvider {
    /** Is called by the service loader. */
    public EntryLoggerProvider() {}

    @Override
    public Logger getLogger(String name) {
        return new EntryLogger(java.util.logging.Logger.getLogger(name));
    }

    @Override
    public void clearMdc() {}

    @Override
    public Object putMdc(String key, Object value) {
        return null;
    }

    @Override
    public Object getMdc(String key) {
        return null;
    }

    @Override
    public void removeMdc(String key) {}

    @Override
    public Map<String, Object> getMdcMap() {
        return Map.of();
    }

    @Override
    public void clearNdc() {}

    @Override
    public String getNdc() {
        return null;
    }

    @Override
    public int getNdcDepth() {
        return 0;
    }

    @Override
    public String popNdc() {
        return "";
    }

    @Override
    public String peekNdc() {
        return "";
    }

    @Override
    public void pushNdc(String message) {}

    @Override
    public void setNdcMaxDepth(int maxDepth) {}
}
