package org.endivehold.daemon.request;

import org.endivehold.misc.CustomerName;
import org.endivehold.misc.RouteName;
import org.endivehold.misc.StreamId;
import org.endivehold.misc.UpstreamName;

/**
 * Names a running stream for its caller.
 *
 * @param upstream the engine that runs it
 * @param stream the stream
 * @param customer whose it is
 * @param route its route
 * @param expiresAtEpochMillis end of its deadline, wall time in milliseconds
 */
record ReattachToken(
        UpstreamName upstream, StreamId stream, CustomerName customer, RouteName route, long expiresAtEpochMillis) {}
