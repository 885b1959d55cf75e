package org.endivehold.upstream;

import java.util.Map;

/**
 * A call to a plain service.
 *
 * @param method HTTP method
 * @param path path with query
 * @param headers headers to pass on
 * @param body the body; not to be changed
 * @param timeoutMillis time until the call is given up, in milliseconds
 */
@SuppressWarnings("ArrayRecordComponent")
public record PlainCall(String method, String path, Map<String, String> headers, byte[] body, long timeoutMillis) {}
