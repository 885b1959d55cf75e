package org.endivehold.daemon.http;

import io.vertx.core.Future;

/**
 * Counts an exchange out only after its last byte was handed to the connection. A daemon that shuts down closes its
 * connections as soon as nothing is in progress; an exchange counted out earlier could lose its end.
 */
final class Ending {
    private Ending() {}

    /**
     * Runs a step after a response has ended, whether or not the caller was still there.
     *
     * @param written the end of the response
     * @param done the step
     */
    static void after(Future<Void> written, Runnable done) {
        written.onComplete(ended -> done.run());
    }
}
