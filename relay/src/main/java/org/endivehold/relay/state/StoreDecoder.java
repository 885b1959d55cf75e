package org.endivehold.relay.state;

import io.vertx.core.buffer.Buffer;
import org.endivehold.error.EndiveholdException;
import org.endivehold.relay.route.RoutingTable;
import org.endivehold.relay.route.UpstreamEntry;

/** Where the platform's store keeps what a daemon reads, and how the values are read. */
public interface StoreDecoder {
    /** Returns the prefix of all that operators write. */
    String operatorPrefix();

    /** Returns the prefix of the upstreams' entries; what follows is the upstream's id. */
    String upstreamPrefix();

    /** Returns the prefix of the daemons' own entries; what follows is the daemon's name. */
    String daemonPrefix();

    /** Returns the key of the configuration. */
    String configurationKey();

    /** Returns the prefix of the keys that take a zone out; what follows is the zone's name. */
    String zoneOutPrefix();

    /**
     * Reads a configuration.
     *
     * @throws EndiveholdException of type {@code CONFIG_INVALID} if it cannot be read as a whole
     */
    RoutingTable configuration(Buffer value) throws EndiveholdException;

    /**
     * Reads an upstream's entry.
     *
     * @throws EndiveholdException of type {@code CONFIG_INVALID} if it names no upstream that can be used
     */
    UpstreamEntry upstream(String id, Buffer value) throws EndiveholdException;
}
