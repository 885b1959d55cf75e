package org.endivehold.daemon.http;

/** Limits the total size of all request bodies that a daemon holds in memory. Not thread-safe. */
public final class ByteBudget {
    private final long limit;
    private long used;

    /**
     * Creates a budget of which nothing is reserved.
     *
     * @param limit maximum number of bytes that can be reserved at once
     */
    public ByteBudget(long limit) {
        this.limit = limit;
    }

    /**
     * Reserves bytes if they fit.
     *
     * @param bytes number of bytes
     * @return false if the limit would be exceeded; then nothing is reserved
     */
    public boolean tryReserve(long bytes) {
        if (used + bytes > limit) {
            return false;
        }
        used += bytes;
        return true;
    }

    /**
     * Releases reserved bytes.
     *
     * @param bytes number of bytes that were reserved before
     */
    public void release(long bytes) {
        used -= bytes;
    }

    /**
     * Returns the number of reserved bytes.
     *
     * @return bytes reserved and not yet released
     */
    public long used() {
        return used;
    }
}
