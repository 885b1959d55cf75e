package org.endivehold.capacity;

import org.endivehold.misc.UpstreamName;

/**
 * The right to have one stream or call on an upstream.
 *
 * @param id number unique in this daemon
 * @param upstream the upstream
 * @param memoryTokens KV memory that the permit covers, in tokens
 * @param reserved whether it was reserved for a long prompt rather than taken from the pooled share
 */
public record Permit(long id, UpstreamName upstream, long memoryTokens, boolean reserved) {}
