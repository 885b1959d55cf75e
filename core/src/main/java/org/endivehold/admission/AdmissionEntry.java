package org.endivehold.admission;

import org.endivehold.config.RequestClass;
import org.endivehold.misc.CustomerName;

/**
 * A request that waits for admission.
 *
 * @param item the request itself
 * @param number arrival number, increasing and unique within one queue
 * @param customer the customer that sent it
 * @param requestClass its scheduling class
 * @param costTokens cost in tokens of prompt and answer
 * @param weight weight of the customer in fair queueing, positive
 * @param latestStartAt monotonic time in milliseconds; a request that starts later misses its deadline
 * @param <T> type of the request
 */
public record AdmissionEntry<T>(
        T item,
        long number,
        CustomerName customer,
        RequestClass requestClass,
        long costTokens,
        int weight,
        long latestStartAt) {}
