package org.endivehold.capacity;

import org.endivehold.misc.UpstreamName;

/**
 * The right to have one stream or call on an upstream.
 *
 * @param id number, unique within this daemon process
 * @param upstream the upstream
 * @param memoryTokens KV-cache memory that the permit covers, in tokens
 * @param reserved true if it was reserved for a long prompt, false if it was acquired for a single request
 */
public record Permit(long id, UpstreamName upstream, long memoryTokens, boolean reserved) {}
