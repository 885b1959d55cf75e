package org.endivehold.relay.serve;

/** How one kind of request is served from its admission to its end. */
interface RequestHandler {
    /** Starts to serve the request. */
    void start();

    /** Stops attempts that are in progress: the caller closed the connection, or the request timed out. */
    void cancel();
}
