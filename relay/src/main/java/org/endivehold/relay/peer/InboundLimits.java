package org.endivehold.relay.peer;

import org.endivehold.relay.connection.ConnectionLimits;
import org.endivehold.relay.connection.OpenConnections;
import org.endivehold.relay.limit.HeldBytes;

/**
 * What the connections that others open to the peers' address may hold together.
 *
 * @param open the connections
 * @param frames bytes of frames that are not complete
 */
record InboundLimits(OpenConnections open, HeldBytes frames) {
    /**
     * Frames may take this many times as much as request heads: configurations and copies of the store arrive in them.
     */
    private static final int HEADS = 2;

    static InboundLimits of(ConnectionLimits limits) {
        return new InboundLimits(
                new OpenConnections(limits.peers()),
                new HeldBytes("frames", Math.max(HEADS * limits.headBytes(), PeerCodec.MAX_FRAME_BYTES)));
    }
}
