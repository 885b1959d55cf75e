package org.endivehold.capacity;

import org.endivehold.misc.UpstreamName;

/**
 * The capacity of one upstream that this daemon may use, at one instant.
 *
 * @param upstream the upstream
 * @param freeSlots slots that this daemon may still use
 * @param freeMemoryTokens KV-cache memory that this daemon may still use, in tokens
 * @param usedSlots slots in use by this daemon
 */
public record Share(UpstreamName upstream, int freeSlots, long freeMemoryTokens, int usedSlots) {}
