package org.endivehold.wire;

/**
 * Response to a request that failed at the receiver.
 *
 * @param code numeric code of the {@link org.endivehold.error.ErrorType}
 * @param message the error message, with its arguments filled in
 */
public record Failure(int code, String message) implements Message {}
