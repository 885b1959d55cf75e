package org.endivehold.upstream.protocol;

/**
 * Response body of {@code POST /control/prefill}.
 *
 * @param id the engine's identifier of the exported cache
 * @param tokens its size in tokens
 */
public record ExportedBody(String id, long tokens) {}
