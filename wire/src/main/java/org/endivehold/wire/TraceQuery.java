package org.endivehold.wire;

import org.endivehold.misc.RequestId;

/**
 * Asks a daemon for the decisions that it made for a request; answered by {@link TraceAnswer}.
 *
 * @param request the request
 */
public record TraceQuery(RequestId request) implements Message {}
