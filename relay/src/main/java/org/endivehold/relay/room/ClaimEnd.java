package org.endivehold.relay.room;

/** Why a claim ended. */
public enum ClaimEnd {
    /** Its request was placed. */
    PLACED,
    /** Its request was refused or withdrawn, or the daemon that submitted it was lost. */
    NOT_WAITING,
    /** One of its engines left, is evacuated or fails. */
    ENGINE_GONE,
    /** Its room did not come free in time. */
    OVERDUE,
    /** Its room came free in time, but its cost to others did not allow to use it. */
    NOT_ADMITTED
}
