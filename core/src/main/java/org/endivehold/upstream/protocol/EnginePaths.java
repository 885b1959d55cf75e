package org.endivehold.upstream.protocol;

/** Paths of the interface to engines and plain services. */
public final class EnginePaths {
    /** Starts a stream. */
    public static final String COMPLETIONS = "/v1/completions";

    /** Load report of an engine or a plain service. */
    public static final String LOAD = "/control/load";

    /** Prefix of one stream: GET with {@code ?offset=N} resumes it, DELETE cancels it. */
    public static final String STREAMS = "/control/streams/";

    /** Takes orders. */
    public static final String ORDERS = "/control/orders";

    /** Computes and exports a cache. */
    public static final String PREFILL = "/control/prefill";

    /** Prefix of one exported cache: DELETE frees it. */
    public static final String CACHES = "/control/caches/";

    /** Cache events, with {@code ?after=N}. */
    public static final String CACHE_EVENTS = "/control/cache-events";

    /** Data of the event after the last one. */
    public static final String DONE = "[DONE]";

    /** Name of the first event of a stream. */
    public static final String STARTED = "started";

    private EnginePaths() {}
}
