package org.endivehold.membership;

import org.endivehold.misc.HostId;

/** What the protocol wants done. */
public sealed interface MembershipAction {
    /**
     * Send a message.
     *
     * @param to the receiver
     * @param heartbeat the message
     */
    record Send(HostId to, Heartbeat heartbeat) implements MembershipAction {}

    /**
     * Tell the listeners of a change.
     *
     * @param member the daemon as it is now
     */
    record Changed(Member member) implements MembershipAction {}
}
