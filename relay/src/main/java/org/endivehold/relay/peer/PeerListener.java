package org.endivehold.relay.peer;

import java.util.List;
import java.util.Optional;
import org.endivehold.relay.state.StorePosition;

/** Receives messages and connection events of other daemons. */
public interface PeerListener {
    /** A message arrived from a daemon. */
    void onMessage(String daemon, PeerMessage message);

    /** The connection that a daemon opened to this one has ended, or the daemon announced its shutdown. */
    void onDisconnected(String daemon);

    /** The connection that this daemon opened to another one has failed. */
    void onUnreachable(String daemon);

    /** Returns the messages that are sent first on each new outbound connection, after {@code Hello}. */
    List<PeerMessage> initialMessages();

    /**
     * Returns the messages that are sent first to each daemon that connects to this one, after {@code Hello}: what a
     * daemon has to know that has just started.
     */
    default List<PeerMessage> welcomeMessages() {
        return List.of();
    }

    /** Returns the answer to a ping of a daemon that is connected to this one. */
    default PeerMessage.Ping pingAnswer() {
        return new PeerMessage.Ping();
    }

    /** A daemon offers a request that it cannot deliver, on a connection of its own; by default, it is declined. */
    default void onForwardOffer(PeerMessage.ForwardOffer offer, PeerStream stream) {
        stream.end(new PeerMessage.ForwardDeclined("not served here"));
    }

    /** Returns the copy of the store's items with a prefix if it is newer than {@code newerThan}. */
    Optional<PeerMessage.Copy> copy(String prefix, StorePosition newerThan);
}
