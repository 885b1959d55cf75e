package org.endivehold.daemon.request;

import java.util.Optional;
import org.endivehold.config.Route;
import org.endivehold.misc.CustomerName;
import org.endivehold.misc.RequestId;
import org.endivehold.upstream.PlainCall;

/**
 * A validated call on a route to plain services.
 *
 * @param id identifier of the request
 * @param customer the customer that sent the request
 * @param route the route that serves the request
 * @param call the call to send to an upstream
 * @param idempotencyKey the caller's idempotency key, if given
 * @param deadlineAt monotonic time in milliseconds by which the request must have ended
 */
public record PlainRequest(
        RequestId id,
        CustomerName customer,
        Route route,
        PlainCall call,
        Optional<String> idempotencyKey,
        long deadlineAt) {}
