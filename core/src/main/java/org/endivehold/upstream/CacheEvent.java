package org.endivehold.upstream;

/**
 * A change to an engine's prefix cache.
 *
 * @param sequence number of the event; a missing number is a gap
 * @param prefixHash hash of the prefix, as in docs/ENGINE-INTERFACE.md
 * @param tokens length of the prefix
 * @param stored true if stored, false if evicted
 */
public record CacheEvent(long sequence, long prefixHash, long tokens, boolean stored) {}
