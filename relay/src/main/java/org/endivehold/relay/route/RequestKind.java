package org.endivehold.relay.route;

/** Kind of a request, which determines whether it may be retried. */
public enum RequestKind {
    /** Idempotent: may be executed any number of times. */
    SAFE,
    /** Not idempotent: executed at most once per attempt of a caller. */
    UNSAFE,
    /** Answered with a stream of events; idempotent only on routes that allow resuming streams. */
    STREAM
}
