package org.endivehold.capacity;

import org.endivehold.misc.UpstreamName;

/**
 * What this daemon may use of one upstream at one instant.
 *
 * @param upstream the upstream
 * @param freeSlots slots not in use
 * @param freeMemoryTokens KV memory not in use, in tokens
 * @param usedSlots slots in use by this daemon
 */
public record Share(UpstreamName upstream, int freeSlots, long freeMemoryTokens, int usedSlots) {}
