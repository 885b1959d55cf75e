package org.endivehold.relay.serve;

import org.endivehold.relay.limit.HeldBytes;

/**
 * The bodies that a daemon holds in memory.
 *
 * @param requests bodies of callers' requests, from their first byte to the end of the request
 * @param responses answers of upstreams that are not complete, or not sent yet
 */
public record HeldBodies(HeldBytes requests, HeldBytes responses) {
    /**
     * Part of the heap for each kind. A buffer that grows may have twice the size of its bytes, so both together take
     * up to two thirds.
     */
    private static final int HEAP_PARTS = 6;

    /** Returns holdings whose limits fit a heap of so many bytes. */
    public static HeldBodies inHeap(long heapBytes) {
        return withLimit(heapBytes / HEAP_PARTS);
    }

    /** Returns holdings of at most so many bytes each. */
    public static HeldBodies withLimit(long limitBytes) {
        return new HeldBodies(new HeldBytes("requests", limitBytes), new HeldBytes("responses", limitBytes));
    }
}
