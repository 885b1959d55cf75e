package org.endivehold.relay.serve;

/** How one kind of request is served from its admission to its end. */
interface Flow {
    /** Starts to serve. */
    void start();

    /** Stops all that is under way: the caller has gone, or time is over. */
    void cancel();
}
