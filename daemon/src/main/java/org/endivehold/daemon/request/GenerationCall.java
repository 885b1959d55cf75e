package org.endivehold.daemon.request;

import org.endivehold.config.Route;
import org.endivehold.misc.CustomerName;
import org.endivehold.misc.RequestId;

/**
 * A validated request for a generation.
 *
 * @param id identifier of the request
 * @param customer the customer that sent the request
 * @param route the route that serves the request
 * @param prompt the prompt text
 * @param promptTokens estimated length of the prompt in tokens
 * @param maxTokens maximum length of the answer in tokens
 * @param arrivedAt monotonic time of arrival in milliseconds
 * @param deadlineAt monotonic time in milliseconds by which the request must have ended
 */
public record GenerationCall(
        RequestId id,
        CustomerName customer,
        Route route,
        String prompt,
        long promptTokens,
        int maxTokens,
        long arrivedAt,
        long deadlineAt) {}
