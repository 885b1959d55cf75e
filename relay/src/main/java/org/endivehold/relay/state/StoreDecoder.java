package org.endivehold.relay.state;

import io.vertx.core.buffer.Buffer;
import org.endivehold.error.EndiveholdException;
import org.endivehold.relay.route.RoutingTable;
import org.endivehold.relay.route.UpstreamEntry;

/** The keys of the platform's store that a daemon reads, and the decoding of their values. */
public interface StoreDecoder {
    /** Returns the prefix of all keys that operators write. */
    String operatorPrefix();

    /** Returns the prefix of the upstreams' entries; the rest of the key is the id of the upstream. */
    String upstreamPrefix();

    /** Returns the prefix of the daemons' own entries; the rest of the key is the name of the daemon. */
    String daemonPrefix();

    /** Returns the prefix of what is barred since requests with it crash upstreams; the rest of the key names it. */
    String barredTraitPrefix();

    /** Returns the key of the configuration. */
    String configurationKey();

    /** Returns the prefix of the keys that evacuate an availability zone; the rest of the key is its name. */
    String evacuatedZonePrefix();

    /**
     * Decodes a configuration.
     *
     * @throws EndiveholdException of type {@code CONFIG_INVALID} if any part of it is malformed
     */
    RoutingTable configuration(Buffer value) throws EndiveholdException;

    /**
     * Decodes the entry of an upstream.
     *
     * @throws EndiveholdException of type {@code CONFIG_INVALID} if it does not describe a usable upstream
     */
    UpstreamEntry upstream(String id, Buffer value) throws EndiveholdException;
}
