package org.endivehold.error;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.jboss.logging.Logger;

/** Handles failures that no caller waits for: logs each as one line and passes it to the listeners. Thread-safe. */
public final class ErrorManager {
    private static final Logger log = Logger.getLogger(ErrorManager.class);

    private final List<ErrorListener> listeners = new CopyOnWriteArrayList<>();

    /**
     * Adds a listener.
     *
     * @param listener receives each failure reported from now on
     */
    public void add(ErrorListener listener) {
        listeners.add(listener);
    }

    /**
     * Logs a failure and passes it to the listeners.
     *
     * @param source the component that failed, a short name such as {@code peer}
     * @param failure any failure; converted by {@link EndiveholdException#unwrap}
     */
    public void report(String source, Throwable failure) {
        EndiveholdException e = EndiveholdException.unwrap(failure);
        log.logf(
                level(e.type().severity()),
                "event=error source=%s code=%d type=%s message=\"%s\"",
                source,
                e.type().code(),
                e.type().label(),
                e.getMessage());
        for (ErrorListener listener : listeners) {
            listener.failed(source, e);
        }
    }

    private static Logger.Level level(Severity severity) {
        return switch (severity) {
            case INFO -> Logger.Level.INFO;
            case WARNING -> Logger.Level.WARN;
            case ERROR -> Logger.Level.ERROR;
        };
    }
}
