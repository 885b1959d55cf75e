package org.endivehold.upstream;

import org.endivehold.misc.UpstreamName;

/**
 * An exported KV cache that occupies memory on an engine until released.
 *
 * @param upstream the engine that holds it
 * @param id the engine's identifier
 * @param tokens its size in tokens
 */
public record CacheHandle(UpstreamName upstream, String id, long tokens) {}
