package org.endivehold.admission;

import org.endivehold.error.EndiveholdException;

/**
 * A request that admission refused; no part of it ran.
 *
 * @param item the request
 * @param failure the reason, for the caller
 * @param retryAfterMillis delay after which the caller should retry, in milliseconds
 * @param <T> type of the request
 */
public record Refusal<T>(T item, EndiveholdException failure, long retryAfterMillis) {}
