package org.endivehold.relay.room;

/** Learns of the claims of a planner. */
public interface ClaimListener {
    /** A claim was made. */
    void made(RoomClaim claim, double now);

    /** A claim ended; called once for each claim. */
    void ended(RoomClaim claim, ClaimEnd reason, double now);
}
