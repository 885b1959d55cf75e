package org.endivehold.relay.path;

import io.vertx.core.Future;
import io.vertx.core.net.SocketAddress;

/** Tries to open a connection to an upstream, which is closed at once. */
public interface PathProbe {
    /** Completes with whether the connection was opened; never fails. */
    Future<Boolean> reaches(SocketAddress address);
}
