package org.endivehold.daemon.request;

import io.vertx.core.Future;
import org.endivehold.upstream.PlainAnswer;

/** Runs calls to plain services, which are upstreams other than engines; a non-idempotent call runs at most once. */
public interface PlainRunner {
    /** Name under which the kernel keeps the service. */
    String NAME = "plain";

    /**
     * Submits a call.
     *
     * @param request the call
     * @return the answer; fails with an error type and the run outcome known so far
     */
    Future<PlainAnswer> submit(PlainRequest request);
}
