package org.endivehold.daemon.entry;

import java.util.Collection;
import org.endivehold.relay.peer.DaemonDirectory;
import org.endivehold.relay.serve.DaemonCount;

/** Counts the daemons that this one knows of, and some more. */
final class MeshCount implements DaemonCount {
    /** Daemons that may have started without this one having heard of them. */
    private static final int LEAST_SPARE = 2;
    /** Further such daemons as a part of the known ones. */
    private static final double SPARE_SHARE = 0.1;

    private final DaemonDirectory directory;

    MeshCount(DaemonDirectory directory) {
        this.directory = directory;
    }

    @Override
    public Collection<String> names() {
        return directory.names();
    }

    @Override
    public int unknownDaemons() {
        return LEAST_SPARE + (int) (names().size() * SPARE_SHARE);
    }
}
