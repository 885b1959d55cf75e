package org.endivehold.config;

/** Scheduling class of the requests of a route. */
public enum RequestClass {
    /** Latency matters: a person waits for the answer. */
    INTERACTIVE,
    /** May wait in the queue for a long time, but must not be dropped. */
    DEFERRABLE;

    /**
     * Returns the name used in metrics and logs.
     *
     * @return the name in lower case
     */
    public String label() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }
}
