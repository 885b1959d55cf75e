package org.endivehold.upstream;

import java.util.Map;

/**
 * An HTTP request to a plain service.
 *
 * @param method HTTP method
 * @param path path with the query string
 * @param headers headers to forward to the service
 * @param body the body; must not be modified
 * @param timeoutMillis time-out of the whole call, in milliseconds
 */
@SuppressWarnings("ArrayRecordComponent")
public record PlainCall(String method, String path, Map<String, String> headers, byte[] body, long timeoutMillis) {}
