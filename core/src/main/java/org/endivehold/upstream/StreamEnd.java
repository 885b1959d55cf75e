package org.endivehold.upstream;

/**
 * The end of a complete stream.
 *
 * @param reason the engine's word, {@code stop} or {@code length}
 * @param promptTokens tokens of the prompt
 * @param completionTokens tokens of the whole answer
 */
public record StreamEnd(String reason, long promptTokens, long completionTokens) {}
