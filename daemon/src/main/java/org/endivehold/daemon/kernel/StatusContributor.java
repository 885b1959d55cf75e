package org.endivehold.daemon.kernel;

/** Implemented by services that contribute a section to the status document for operators. */
public interface StatusContributor {
    /**
     * Returns the name of the section in the status document.
     *
     * @return the unique name, such as {@code ledger}
     */
    String statusName();

    /**
     * Returns the current state. Its component names appear in the status document.
     *
     * @return a value that Jackson can serialize to JSON
     */
    Object status();
}
