package org.endivehold.relay.route;

import io.vertx.core.net.SocketAddress;

/**
 * The registration of an upstream in the store.
 *
 * @param id id of the upstream; a later start may have the same one
 * @param service name of its service
 * @param address address on which it listens
 * @param zone its availability zone
 * @param slots requests that it runs concurrently; 0 if unknown
 * @param leaving whether it is draining and accepts no new requests
 * @param coldMillis remaining duration of its cold phase when the entry was written
 * @param startedAtMillis time of day of its start, in milliseconds; 0 if unknown
 */
public record UpstreamEntry(
        String id,
        String service,
        SocketAddress address,
        String zone,
        int slots,
        boolean leaving,
        long coldMillis,
        long startedAtMillis) {}
