package org.endivehold.standin.store;

/**
 * Counts of the calls that the service received.
 *
 * @param reads range calls
 * @param writes transactions, puts and deletions
 * @param leases all other calls: grants, renewals and revocations of leases
 * @param watches watches that were opened, whatever the number of their events
 * @param largestValueBytes size of the largest body of a write call, in bytes
 */
public record StoreCalls(long reads, long writes, long leases, long watches, long largestValueBytes) {
    /** No calls. */
    public static final StoreCalls NONE = new StoreCalls(0, 0, 0, 0, 0);

    StoreCalls plus(long moreReads, long moreWrites, long moreLeases, long moreWatches) {
        return new StoreCalls(
                reads + moreReads, writes + moreWrites, leases + moreLeases, watches + moreWatches, largestValueBytes);
    }

    StoreCalls withWriteOf(long bytes) {
        return new StoreCalls(reads, writes, leases, watches, Math.max(bytes, largestValueBytes));
    }

    /**
     * Returns the calls since earlier counts; the largest size is not reset.
     *
     * @param earlier counts taken before
     * @return the differences
     */
    public StoreCalls minus(StoreCalls earlier) {
        return new StoreCalls(
                reads - earlier.reads,
                writes - earlier.writes,
                leases - earlier.leases,
                watches - earlier.watches,
                largestValueBytes);
    }
}
