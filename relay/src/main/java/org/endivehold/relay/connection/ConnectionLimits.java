package org.endivehold.relay.connection;

/**
 * The most connections that each server of a daemon keeps open, and what their request heads may take together.
 *
 * @param callers connections of callers
 * @param peers connections that other daemons opened
 * @param readiness connections for readiness checks
 * @param metrics connections for metrics
 * @param headBytes bytes of request heads that are held together, as received or as decoded
 */
public record ConnectionLimits(int callers, int peers, int readiness, int metrics, long headBytes) {
    /** The limits of a host of 4,100 descriptors, for which no settings are known. */
    public static final ConnectionLimits DEFAULT =
            of(4_100, 330L << 20, Runtime.getRuntime().maxMemory());

    /** Descriptors of the program itself: its files, listening sockets and selectors. */
    private static final int OWN_DESCRIPTORS = 100;
    /** Divisors of the other descriptors, for callers and peers; the rest is for upstreams and the store. */
    private static final int CALLERS_PART = 2;

    private static final int PEERS_PART = 4;
    /** Load balancers and collectors of metrics are few and keep a connection each. */
    private static final int READINESS = 24;

    private static final int METRICS = 8;
    /** At most an eighth of the heap is taken for heads. */
    private static final int HEAP_PARTS = 8;
    /** At most a sixteenth of the host's memory is taken for heads, as the heap is only a part of it. */
    private static final int MEMORY_PARTS = 16;

    /**
     * Derives the limits from what a host has.
     *
     * @param maxDescriptors file descriptors that the process may have
     * @param memoryBytes memory that the process may have
     * @param heapBytes largest heap of the process
     */
    public static ConnectionLimits of(int maxDescriptors, long memoryBytes, long heapBytes) {
        int free = Math.max(OWN_DESCRIPTORS, maxDescriptors - OWN_DESCRIPTORS);
        return new ConnectionLimits(
                free / CALLERS_PART,
                free / PEERS_PART,
                READINESS,
                METRICS,
                Math.min(heapBytes / HEAP_PARTS, memoryBytes / MEMORY_PARTS));
    }
}
