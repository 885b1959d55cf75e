package org.endivehold.relay.serve;

import io.vertx.core.MultiMap;

/**
 * A caller's request that has been read.
 *
 * @param path path without the query
 * @param outgoing the request as it is sent to upstreams
 */
record IncomingRequest(String path, UpstreamClient.OutgoingRequest outgoing) {
    /** Returns the value of the Host header; null if there is none. */
    String host() {
        MultiMap headers = outgoing.headers();
        return headers.get("host");
    }
}
