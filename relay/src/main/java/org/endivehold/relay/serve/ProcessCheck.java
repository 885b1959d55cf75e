package org.endivehold.relay.serve;

import io.vertx.core.Future;
import io.vertx.core.net.SocketAddress;

/** Finds out whether the process of an upstream still listens. */
public interface ProcessCheck {
    /** What is known of the process. */
    enum Result {
        /** Its host refused the connection: nothing listens there. */
        ENDED,
        /** It accepted the connection. */
        ALIVE,
        /** There was no answer; the host or the path to it may be down. */
        UNKNOWN
    }

    /** Checks the process that listens on an address; the future never fails. */
    Future<Result> check(SocketAddress address);
}
