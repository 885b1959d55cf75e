package org.endivehold.upstream;

import java.util.Map;

/**
 * The HTTP response of a plain service.
 *
 * @param status HTTP status
 * @param headers headers to forward to the caller
 * @param body the body; must not be modified
 */
@SuppressWarnings("ArrayRecordComponent")
public record PlainAnswer(int status, Map<String, String> headers, byte[] body) {}
