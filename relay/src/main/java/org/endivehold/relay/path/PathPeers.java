package org.endivehold.relay.path;

import java.util.Collection;
import org.endivehold.relay.peer.DaemonEntry;
import org.endivehold.relay.peer.PeerMessage;

/** The other daemons, as the exchange of lost paths needs them. */
public interface PathPeers {
    /** Returns this daemon. */
    DaemonEntry self();

    /** Returns the other daemons that are known and, as far as this one can tell, up. */
    Collection<DaemonEntry> others();

    /** Sends a message to all connected daemons, in a large fleet from or to the coordinators. */
    void spread(PeerMessage message);

    /** Passes on a message of another daemon to those that may not have got it. */
    void passOn(PeerMessage message);
}
