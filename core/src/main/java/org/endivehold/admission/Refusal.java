package org.endivehold.admission;

import org.endivehold.error.EndiveholdException;

/**
 * A request that is turned away; nothing of it ran.
 *
 * @param item the request
 * @param failure why
 * @param retryAfterMillis when to come back, in milliseconds
 * @param <T> type of the request
 */
public record Refusal<T>(T item, EndiveholdException failure, long retryAfterMillis) {}
