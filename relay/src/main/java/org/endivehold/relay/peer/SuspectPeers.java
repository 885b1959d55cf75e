package org.endivehold.relay.peer;

/** The other daemons, as the exchange of suspects needs them. */
public interface SuspectPeers {
    /** Sends a message to all connected daemons, in a large fleet from or to the coordinators. */
    void spread(PeerMessage message);

    /** Sends a message without waiting; it is lost if the daemon is not connected. */
    void send(String daemon, PeerMessage message);
}
