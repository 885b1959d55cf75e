package org.endivehold.daemon.entry;

import java.util.Collection;
import org.endivehold.relay.path.PathPeers;
import org.endivehold.relay.peer.DaemonEntry;
import org.endivehold.relay.peer.PeerMesh;
import org.endivehold.relay.peer.PeerMessage;

/** The other daemons as the mesh knows them; in a small fleet only those that are connected. */
final class MeshPathPeers implements PathPeers {
    private final PeerMesh mesh;

    MeshPathPeers(PeerMesh mesh) {
        this.mesh = mesh;
    }

    @Override
    public DaemonEntry self() {
        return mesh.directory().self();
    }

    @Override
    public Collection<DaemonEntry> others() {
        Collection<DaemonEntry> others = mesh.directory().others();
        return mesh.directory().usesFullMesh()
                ? others.stream().filter(daemon -> mesh.hears(daemon.name())).toList()
                : others;
    }

    @Override
    public void spread(PeerMessage message) {
        mesh.spread(message);
    }

    @Override
    public void passOn(PeerMessage message) {
        mesh.passOn(message);
    }
}
