package org.endivehold.error;

/** What is known about the execution of a request that did not get a complete answer. */
public enum RunOutcome {
    /**
     * The request did not run: no byte was sent upstream, or the upstream reported that it did not start the request.
     */
    NO,
    /** The request may or may not have run. */
    UNKNOWN,
    /** The request ran and part of its answer was delivered. */
    PARTIAL;

    /**
     * Returns the name of this outcome in answers to callers.
     *
     * @return the constant's name in lower case
     */
    public String label() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }
}
