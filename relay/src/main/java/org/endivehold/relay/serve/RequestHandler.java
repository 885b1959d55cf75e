package org.endivehold.relay.serve;

/** Serves one request from its admission to its end; there is one implementation for each kind of request. */
interface RequestHandler {
    /** Starts to serve the request. */
    void start();

    /** Stops attempts that are in progress: the caller closed the connection, or the request timed out. */
    void cancel();
}
