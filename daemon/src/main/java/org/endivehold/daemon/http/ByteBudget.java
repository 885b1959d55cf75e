package org.endivehold.daemon.http;

/** Counts the bytes of all bodies held by a daemon against one bound. Used on one thread. */
public final class ByteBudget {
    private final long limit;
    private long used;

    /**
     * Creates an empty budget.
     *
     * @param limit most bytes held at once
     */
    public ByteBudget(long limit) {
        this.limit = limit;
    }

    /**
     * Takes bytes if they fit.
     *
     * @param bytes how many
     * @return false if the bound would be exceeded; nothing is taken then
     */
    public boolean take(long bytes) {
        if (used + bytes > limit) {
            return false;
        }
        used += bytes;
        return true;
    }

    /**
     * Gives bytes back.
     *
     * @param bytes how many were taken
     */
    public void give(long bytes) {
        used -= bytes;
    }

    /**
     * Returns the bytes in use.
     *
     * @return bytes
     */
    public long used() {
        return used;
    }
}
