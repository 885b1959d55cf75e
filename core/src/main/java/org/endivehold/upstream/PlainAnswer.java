package org.endivehold.upstream;

import java.util.Map;

/**
 * The answer of a plain service.
 *
 * @param status HTTP status
 * @param headers headers to pass on
 * @param body the body; not to be changed
 */
@SuppressWarnings("ArrayRecordComponent")
public record PlainAnswer(int status, Map<String, String> headers, byte[] body) {}
