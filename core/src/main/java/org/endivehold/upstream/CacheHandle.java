package org.endivehold.upstream;

import org.endivehold.misc.UpstreamName;

/**
 * Reference to an exported KV cache, which occupies memory on an engine until it is released.
 *
 * @param upstream the engine that holds it
 * @param id the engine's identifier of the cache
 * @param tokens its size in tokens
 */
public record CacheHandle(UpstreamName upstream, String id, long tokens) {}
