package org.endivehold.relay.route;

/** What may be repeated of a request. */
public enum RequestKind {
    /** Idempotent: may run any number of times. */
    SAFE,
    /** Not idempotent: runs at most once for each attempt of a caller. */
    UNSAFE,
    /** Answers with a stream of events; idempotent only on routes that allow resuming. */
    STREAM
}
