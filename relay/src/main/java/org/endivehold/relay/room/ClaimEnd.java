package org.endivehold.relay.room;

/** Why a claim ended. */
public enum ClaimEnd {
    /** Its request was placed. */
    PLACED,
    /** Its request was refused. */
    REFUSED,
    /** Its request was withdrawn, or its daemon was lost. */
    WITHDRAWN,
    /** One of its engines left, is evacuated or fails. */
    ENGINE_GONE,
    /** Its room did not come free in time. */
    OVERDUE
}
