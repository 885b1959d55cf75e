package org.endivehold.relay.schedule;

import org.endivehold.relay.peer.PeerMessage;

/** The other daemons, as far as decisions about engines concern them. */
public interface SchedulerPeers {
    /** Returns the name of the daemon that decides for this one; its own name if it decides itself. */
    String decider();

    /** Sends a message at once; it is lost if the daemon is not connected. */
    void send(String daemon, PeerMessage message);

    /** Notes that a daemon did not answer in time: another one decides for a while. */
    void suspect(String daemon);
}
