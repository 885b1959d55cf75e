package org.endivehold.daemon.request;

import org.endivehold.error.EndiveholdException;
import org.endivehold.upstream.StreamEnd;
import org.endivehold.upstream.StreamPiece;

/**
 * Receives the answer to one generation call. Ends with one of {@link #end} and {@link #fail}, unless the call is
 * cancelled.
 */
public interface AnswerSink {
    /**
     * Receives the token with which the caller can continue the stream through any daemon; precedes the first piece.
     *
     * @param token the signed token
     */
    default void reattachToken(String token) {}

    /**
     * Receives a piece; pieces arrive in order, without gaps or repetitions.
     *
     * @param piece the piece
     */
    void piece(StreamPiece piece);

    /** Keeps the caller's connection alive while the request waits for its first token. */
    default void keepAlive() {}

    /**
     * Returns whether more pieces can be passed on without filling buffers.
     *
     * @return false if the caller reads too slowly
     */
    default boolean isWritable() {
        return true;
    }

    /**
     * Sets a handler that runs when the sink becomes writable again.
     *
     * @param handler the handler
     */
    default void onWritable(Runnable handler) {}

    /**
     * Ends a complete answer.
     *
     * @param end finish reason and token counts
     */
    void end(StreamEnd end);

    /**
     * Ends the request with a failure.
     *
     * @param failure the failure
     * @param retryAfterMillis time after which the caller should retry, in milliseconds; 0 for no advice
     */
    void fail(EndiveholdException failure, long retryAfterMillis);
}
