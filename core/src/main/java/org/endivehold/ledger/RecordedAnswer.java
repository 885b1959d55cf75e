package org.endivehold.ledger;

import java.util.Map;
import org.endivehold.upstream.PlainAnswer;

/**
 * The answer of a call that ran, as the ledger keeps it.
 *
 * @param status HTTP status
 * @param headers headers to pass on; empty unless the answer is whole
 * @param body the body, not to be changed; empty unless the answer is whole
 * @param whole false if the answer was too large to be kept, so that only its status is known
 */
@SuppressWarnings("ArrayRecordComponent")
public record RecordedAnswer(int status, Map<String, String> headers, byte[] body, boolean whole) {
    private static final int HEADER_OVERHEAD_BYTES = 4;

    /**
     * Keeps an answer if it is small enough, and else only its status.
     *
     * @param answer the answer
     * @param maxBytes most bytes of headers and body
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
     * Returns the answer to give again.
     *
     * @return the recorded status, headers and body
     */
    public PlainAnswer answer() {
        return new PlainAnswer(status, headers, body);
    }
}
