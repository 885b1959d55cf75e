package org.endivehold.daemon.request;

import java.util.Optional;
import org.endivehold.config.Route;
import org.endivehold.misc.CustomerName;
import org.endivehold.misc.RequestId;
import org.endivehold.upstream.PlainCall;

/**
 * A checked call to a plain route.
 *
 * @param id the request
 * @param customer who asks
 * @param route the route
 * @param call what to send
 * @param idempotencyKey the caller's key, if given
 * @param deadlineAt monotonic time in milliseconds by which the request must have ended
 */
public record PlainRequest(
        RequestId id,
        CustomerName customer,
        Route route,
        PlainCall call,
        Optional<String> idempotencyKey,
        long deadlineAt) {}
