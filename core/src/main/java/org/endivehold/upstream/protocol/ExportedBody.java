package org.endivehold.upstream.protocol;

/**
 * Answer to {@code POST /control/prefill}.
 *
 * @param id the engine's identifier of the exported cache
 * @param tokens its size in tokens
 */
public record ExportedBody(String id, long tokens) {}
