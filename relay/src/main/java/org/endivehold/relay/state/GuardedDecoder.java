package org.endivehold.relay.state;

import io.vertx.core.buffer.Buffer;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.relay.route.RoutingTable;
import org.endivehold.relay.route.UpstreamEntry;

/**
 * A decoder that reports every value it cannot decode as malformed. Whatever a decoder of another writer's bytes
 * throws, its callers then have one kind of failure to expect, and treat the value as one that names nothing to use.
 */
final class GuardedDecoder {
    private final StoreDecoder decoder;

    GuardedDecoder(StoreDecoder decoder) {
        this.decoder = decoder;
    }

    /** Decodes a configuration, see {@link StoreDecoder#configuration}. */
    RoutingTable configuration(Buffer value) throws EndiveholdException {
        try {
            return decoder.configuration(value);
        } catch (RuntimeException | StackOverflowError e) {
            throw malformed(e);
        }
    }

    /** Decodes the entry of an upstream, see {@link StoreDecoder#upstream}. */
    UpstreamEntry upstream(String id, Buffer value) throws EndiveholdException {
        try {
            return decoder.upstream(id, value);
        } catch (RuntimeException | StackOverflowError e) {
            throw malformed(e);
        }
    }

    private static EndiveholdException malformed(Throwable cause) {
        return new EndiveholdException(ErrorType.CONFIG_INVALID, "not decoded: " + cause).causedBy(cause);
    }
}
