package org.endivehold.daemon.request;

import org.endivehold.misc.CustomerName;
import org.endivehold.misc.RouteName;
import org.endivehold.misc.StreamId;
import org.endivehold.misc.UpstreamName;

/**
 * Identifies a running stream, so that its caller can continue it through any daemon.
 *
 * @param upstream the engine that runs it
 * @param stream identifier of the stream
 * @param customer the customer that sent the request
 * @param route the route of the request
 * @param expiresAtEpochMillis deadline of the request, wall time in milliseconds since the epoch
 */
record ReattachToken(
        UpstreamName upstream, StreamId stream, CustomerName customer, RouteName route, long expiresAtEpochMillis) {}
