package org.endivehold.config;

/** How urgent the requests of a route are. */
public enum RequestClass {
    /** A person waits. */
    INTERACTIVE,
    /** May wait long, but is never lost. */
    DEFERRABLE;

    /**
     * Returns the word used in metrics and logs.
     *
     * @return the name in lower case
     */
    public String word() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }
}
