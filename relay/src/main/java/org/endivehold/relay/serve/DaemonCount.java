package org.endivehold.relay.serve;

import java.util.Collection;

/** Knows the daemons that divide limits with this one. */
public interface DaemonCount {
    /** Returns the names of all daemons that may exist, this one among them. */
    Collection<String> names();

    /** Returns how many daemons more may exist that nobody here knows of. */
    int spare();

    /** Returns by how many daemons a common allowance is to be divided. */
    default int divisor() {
        return names().size() + spare();
    }
}
