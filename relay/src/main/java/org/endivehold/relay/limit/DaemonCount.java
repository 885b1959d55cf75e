package org.endivehold.relay.limit;

import java.util.Collection;

/** The daemons among which limits of the whole fleet are divided. */
public interface DaemonCount {
    /** Returns the name of this daemon. */
    String self();

    /** Returns the names of all known daemons that may still exist, including this one. */
    Collection<String> names();

    /** Returns an allowance for daemons that may exist without being known here. */
    int unknownDaemons();

    /** Returns the number of daemons by which a limit of the whole fleet is divided. */
    default int divisor() {
        return names().size() + unknownDaemons();
    }

    /** Returns whether each daemon reports to all others, as in a small fleet. */
    boolean usesFullMesh();

    /** Returns whether the reports of a daemon reach this one at present; true for itself. */
    boolean hears(String daemon);

    /** Returns the number of known daemons whose reports reach this one at present, including itself. */
    default int heard() {
        return (int) names().stream().filter(this::hears).count();
    }
}
