package org.endivehold.wire;

/**
 * Answer to a request that failed at the receiver.
 *
 * @param code code of the {@link org.endivehold.error.ErrorType}
 * @param message the filled template
 */
public record Failure(int code, String message) implements Message {}
