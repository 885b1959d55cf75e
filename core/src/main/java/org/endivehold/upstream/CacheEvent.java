package org.endivehold.upstream;

/**
 * A change to an engine's prefix cache.
 *
 * @param sequence sequence number of the event; a skipped number means that an event was lost
 * @param prefixHash hash of the prefix, as in docs/ENGINE-INTERFACE.md
 * @param tokens length of the prefix in tokens
 * @param stored true if the prefix was stored, false if it was evicted
 */
public record CacheEvent(long sequence, long prefixHash, long tokens, boolean stored) {}
