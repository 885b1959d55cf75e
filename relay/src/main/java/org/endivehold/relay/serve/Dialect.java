package org.endivehold.relay.serve;

import io.vertx.core.MultiMap;

/** Maps between HTTP headers of callers and upstreams and the values that the serving path uses. */
public interface Dialect {
    /** Parses the headers of a caller's request. */
    CallerRequestHead parseRequest(MultiMap headers);

    /**
     * Sets the headers of a request to an upstream. Headers that only this system may set replace those of the caller.
     *
     * @param headers the caller's headers without hop-by-hop headers; modified by this method
     * @param values the values to set
     */
    void writeUpstreamHeaders(MultiMap headers, UpstreamHeaderValues values);

    /** Parses the status and headers of an upstream's response. */
    AnswerFacts parseResponse(int status, MultiMap headers);

    /** Returns the path of the readiness check. */
    String readinessPath();
}
