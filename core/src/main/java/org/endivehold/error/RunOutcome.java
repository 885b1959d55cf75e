package org.endivehold.error;

/** What is known about the execution of a request that did not get its whole answer. */
public enum RunOutcome {
    /** Nothing ran: no byte went upstream, or the upstream itself said that it did not start. */
    NO,
    /** The request may or may not have run. */
    UNKNOWN,
    /** The request ran and part of its answer was delivered. */
    PARTIAL;

    /**
     * Returns the word used in answers to callers.
     *
     * @return the name in lower case
     */
    public String word() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }
}
