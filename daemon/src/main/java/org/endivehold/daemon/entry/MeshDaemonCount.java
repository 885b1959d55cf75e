package org.endivehold.daemon.entry;

import java.util.Collection;
import org.endivehold.relay.peer.DaemonDirectory;
import org.endivehold.relay.serve.DaemonCount;

/** The known daemons, with an allowance for daemons that this one may not have heard of yet. */
final class MeshDaemonCount implements DaemonCount {
    /** Minimum number of daemons that may be running without being known here. */
    private static final int MIN_UNKNOWN_DAEMONS = 2;
    /** Further unknown daemons to allow for, as a ratio of the known ones. */
    private static final double UNKNOWN_DAEMON_RATIO = 0.1;

    private final DaemonDirectory directory;

    MeshDaemonCount(DaemonDirectory directory) {
        this.directory = directory;
    }

    @Override
    public Collection<String> names() {
        return directory.names();
    }

    @Override
    public int unknownDaemons() {
        return MIN_UNKNOWN_DAEMONS + (int) (names().size() * UNKNOWN_DAEMON_RATIO);
    }
}
