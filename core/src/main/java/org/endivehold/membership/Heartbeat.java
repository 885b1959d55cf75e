package org.endivehold.membership;

import java.util.List;
import org.endivehold.misc.HostId;

/**
 * A message of failure detection.
 *
 * @param kind what it asks or answers
 * @param sequence number that the answer repeats
 * @param subject for a {@link Kind#PING_REQUEST} the daemon to probe; for an {@link Kind#ACK} the daemon that answered;
 *     otherwise the receiver
 * @param sender the sender's own entry
 * @param updates what the sender has learned of late about others, at most {@link #MAX_UPDATES}; in an answer to a
 *     newcomer at most {@link #MAX_SYNC_UPDATES}
 */
public record Heartbeat(Kind kind, long sequence, HostId subject, Member sender, List<Member> updates) {
    /** Most updates in an ordinary message. */
    public static final int MAX_UPDATES = 8;

    /** Most updates in an answer to a newcomer. */
    public static final int MAX_SYNC_UPDATES = 1_024;

    /** Kinds of messages. */
    public enum Kind {
        /** Asks the receiver for an {@link #ACK}. */
        PING,
        /** Says that the subject answers. */
        ACK,
        /** Asks the receiver to probe the subject on behalf of the sender. */
        PING_REQUEST
    }

    /** Copies the updates. */
    public Heartbeat {
        updates = updates == null ? List.of() : List.copyOf(updates);
    }
}
