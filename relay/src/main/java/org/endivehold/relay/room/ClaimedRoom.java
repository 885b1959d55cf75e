package org.endivehold.relay.room;

/**
 * Memory and slots of one engine.
 *
 * @param tokens memory, in tokens
 * @param slots slots
 */
public record ClaimedRoom(long tokens, int slots) {
    /** No room. */
    public static final ClaimedRoom NONE = new ClaimedRoom(0, 0);
}
