package org.endivehold.standin.store;

/**
 * Calls that the service counted; a waiting watch counts as one.
 *
 * @param reads ranges
 * @param writes transactions, puts and deletions
 * @param leases grants, renewals and revocations of leases
 * @param watches watches that were opened
 * @param largestValueBytes largest value written
 */
public record StoreCalls(long reads, long writes, long leases, long watches, long largestValueBytes) {
    /** No calls. */
    public static final StoreCalls NONE = new StoreCalls(0, 0, 0, 0, 0);

    StoreCalls plus(long moreReads, long moreWrites, long moreLeases, long moreWatches) {
        return new StoreCalls(
                reads + moreReads, writes + moreWrites, leases + moreLeases, watches + moreWatches, largestValueBytes);
    }

    StoreCalls withValue(long bytes) {
        return new StoreCalls(reads, writes, leases, watches, Math.max(bytes, largestValueBytes));
    }

    /**
     * Subtracts earlier counts.
     *
     * @param earlier counts taken before
     * @return the calls between
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
