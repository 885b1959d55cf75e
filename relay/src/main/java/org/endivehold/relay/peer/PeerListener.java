package org.endivehold.relay.peer;

import java.util.List;
import java.util.Optional;

/** Answers what other daemons tell and ask. */
public interface PeerListener {
    /** A daemon told something. */
    void told(String daemon, PeerMessage message);

    /** A daemon that told of its work is no longer connected, or has stopped. */
    void lost(String daemon);

    /** A daemon that this one tells of its work is no longer reached. */
    void unreachable(String daemon);

    /** Returns all that a newly connected daemon has to be told. */
    List<PeerMessage> introduction();

    /** Returns the copy of the store's items if it is newer than a revision. */
    Optional<PeerMessage.Copy> copy(String prefix, long newerThan);
}
