package org.endivehold.daemon.http;

import io.vertx.core.Future;

/**
 * Ends an exchange only after its last byte was handed to the connection. A daemon that shuts down closes its
 * connections as soon as nothing is in progress; an exchange that ended earlier could lose the end of its response.
 */
final class ResponseCompletion {
    private ResponseCompletion() {}

    /**
     * Runs a step after a response has ended, whether or not the caller was still connected.
     *
     * @param written the end of the response
     * @param done the step
     */
    static void whenWritten(Future<Void> written, Runnable done) {
        written.onComplete(ended -> done.run());
    }
}
