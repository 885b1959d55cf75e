package org.endivehold.upstream;

/**
 * Final event of a stream that was completed.
 *
 * @param reason why the engine ended the answer: {@code stop} or {@code length}
 * @param promptTokens length of the prompt in tokens
 * @param completionTokens length of the whole answer in tokens
 */
public record StreamEnd(String reason, long promptTokens, long completionTokens) {}
