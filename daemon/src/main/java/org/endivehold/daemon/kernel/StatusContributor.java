package org.endivehold.daemon.kernel;

/** A service that shows its state to operators. */
public interface StatusContributor {
    /**
     * Returns the name of the part in the status document.
     *
     * @return a word such as {@code grants}
     */
    String statusName();

    /**
     * Returns the state.
     *
     * @return a record that Jackson can write as JSON
     */
    Object status();
}
