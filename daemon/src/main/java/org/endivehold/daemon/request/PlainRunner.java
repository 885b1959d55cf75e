package org.endivehold.daemon.request;

import io.vertx.core.Future;
import org.endivehold.upstream.PlainAnswer;

/** Runs calls to plain services; non-idempotent ones at most once. */
public interface PlainRunner {
    /** Name of the service. */
    String NAME = "plain";

    /**
     * Takes a call.
     *
     * @param request the call
     * @return the answer, or a typed failure that tells what is known about the run
     */
    Future<PlainAnswer> submit(PlainRequest request);
}
