package org.endivehold.ledger;

import java.util.Map;
import org.endivehold.upstream.PlainAnswer;

/**
 * The answer of a call that ran, in the form that the ledger stores.
 *
 * @param status HTTP status
 * @param headers headers for the caller; empty if {@code whole} is false
 * @param body the body, which must not be modified; empty if {@code whole} is false
 * @param whole false if the answer was too large to store, so that only its status is kept
 */
@SuppressWarnings("ArrayRecordComponent")
public record RecordedAnswer(int status, Map<String, String> headers, byte[] body, boolean whole) {
    /** Separators and line end of one header line. */
    private static final int HEADER_OVERHEAD_BYTES = 4;

    /**
     * Creates the stored form of an answer, reduced to its status if the answer is too large.
     *
     * @param answer the answer
     * @param maxBytes largest total size of headers and body, in bytes
     * @return what to record
     */
    public static RecordedAnswer of(PlainAnswer answer, int maxBytes) {
        long size = answer.body().length;
        for (Map.Entry<String, String> header : answer.headers().entrySet()) {
            size += header.getKey().length() + header.getValue().length() + HEADER_OVERHEAD_BYTES;
        }
        return size <= maxBytes
                ? new RecordedAnswer(answer.status(), Map.copyOf(answer.headers()), answer.body(), true)
                : new RecordedAnswer(answer.status(), Map.of(), new byte[0], false);
    }

    /**
     * Returns the answer for a repeated call.
     *
     * @return the recorded status, headers and body
     */
    public PlainAnswer answer() {
        return new PlainAnswer(status, headers, body);
    }
}
