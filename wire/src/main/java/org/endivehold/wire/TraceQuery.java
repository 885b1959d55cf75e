package org.endivehold.wire;

import org.endivehold.misc.RequestId;

/**
 * Requests the decisions that a daemon made about a request of a caller; answered by {@link TraceAnswer}.
 *
 * @param request identifier of the caller's request
 */
public record TraceQuery(RequestId request) implements Message {}
