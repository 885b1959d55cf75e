package org.endivehold.upstream.protocol;

/** URL paths and event names of the HTTP interface to engines and plain services. */
public final class EnginePaths {
    /** POST starts a stream. */
    public static final String COMPLETIONS = "/v1/completions";

    /** GET returns the load report of an engine or a plain service. */
    public static final String LOAD = "/control/load";

    /** Prefix of the path of one stream: GET with {@code ?offset=N} resumes it, DELETE cancels it. */
    public static final String STREAMS = "/control/streams/";

    /** POST sends a control order, see {@link OrderBody}. */
    public static final String ORDERS = "/control/orders";

    /** POST computes the KV cache of a part of a prompt and exports it. */
    public static final String PREFILL = "/control/prefill";

    /** Prefix of the path of one exported cache: DELETE releases it. */
    public static final String CACHES = "/control/caches/";

    /** GET with {@code ?after=N} returns the cache events after sequence number N. */
    public static final String CACHE_EVENTS = "/control/cache-events";

    /** Data of the server-sent event that terminates the stream, after the last {@link CompletionChunk}. */
    public static final String DONE = "[DONE]";

    /** Name of the first server-sent event of a stream, see {@link StartedBody}. */
    public static final String STARTED = "started";

    private EnginePaths() {}
}
