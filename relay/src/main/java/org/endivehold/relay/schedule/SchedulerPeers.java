package org.endivehold.relay.schedule;

import org.endivehold.relay.peer.PeerMessage;

/** The other daemons, as the scheduler needs them. */
public interface SchedulerPeers {
    /** Returns the name of the daemon that currently decides for this one; this daemon's own name if it does. */
    String decider();

    /** Sends a message without waiting; it is lost if the daemon is not connected. */
    void send(String daemon, PeerMessage message);

    /** Reports that a daemon did not answer in time, so that another one is the decider for a while. */
    void suspect(String daemon);
}
