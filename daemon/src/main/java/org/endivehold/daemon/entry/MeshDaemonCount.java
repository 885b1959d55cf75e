package org.endivehold.daemon.entry;

import java.util.Collection;
import org.endivehold.relay.limit.DaemonCount;
import org.endivehold.relay.peer.PeerMesh;

/** The known daemons, with an allowance for daemons that this one may not have heard of yet. */
final class MeshDaemonCount implements DaemonCount {
    /** Minimum number of daemons that may be running without being known here. */
    private static final int MIN_UNKNOWN_DAEMONS = 2;
    /** Further unknown daemons to allow for, as a ratio of the known ones. */
    private static final double UNKNOWN_DAEMON_RATIO = 0.1;

    private final PeerMesh mesh;

    MeshDaemonCount(PeerMesh mesh) {
        this.mesh = mesh;
    }

    @Override
    public String self() {
        return mesh.directory().self().name();
    }

    @Override
    public Collection<String> names() {
        return mesh.directory().names();
    }

    @Override
    public int unknownDaemons() {
        return MIN_UNKNOWN_DAEMONS + (int) (names().size() * UNKNOWN_DAEMON_RATIO);
    }

    @Override
    public boolean usesFullMesh() {
        return mesh.directory().usesFullMesh();
    }

    @Override
    public boolean hears(String daemon) {
        return daemon.equals(self()) || mesh.hears(daemon);
    }
}
