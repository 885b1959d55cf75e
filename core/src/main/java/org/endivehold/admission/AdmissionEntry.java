package org.endivehold.admission;

import org.endivehold.config.RequestClass;
import org.endivehold.misc.CustomerName;

/**
 * A request that waits.
 *
 * @param item the request
 * @param number order of arrival, unique in one queue
 * @param customer who asks
 * @param requestClass how urgent it is
 * @param costTokens what it costs, in tokens of prompt and answer
 * @param weight the customer's share, positive
 * @param latestStartAt monotonic time in milliseconds after which it cannot be finished before its deadline
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
