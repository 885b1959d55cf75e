package org.endivehold.relay.serve;

import io.vertx.core.MultiMap;

/** How callers and upstreams name things in HTTP headers. */
public interface Dialect {
    /** Reads the headers of a caller's request. */
    RequestFacts request(MultiMap headers);

    /**
     * Writes the headers for an upstream. Those that this system sets itself replace whatever the caller sent.
     *
     * @param headers the caller's headers without those of one connection; changed by the call
     * @param call what the upstream is told
     */
    void call(MultiMap headers, UpstreamCall call);

    /** Reads the head of an upstream's answer. */
    AnswerFacts answer(int status, MultiMap headers);

    /** Returns the path on which readiness is asked for. */
    String readinessPath();
}
