package org.endivehold.daemon.request;

import org.endivehold.error.EndiveholdException;
import org.endivehold.upstream.StreamEnd;
import org.endivehold.upstream.StreamPiece;

/** Where the answer to one generation call goes. Ends with exactly one of {@link #end} and {@link #fail}. */
public interface AnswerSink {
    /**
     * Gives the token with which the caller can fetch the rest elsewhere; called before the first piece.
     *
     * @param token the signed token
     */
    default void reattachToken(String token) {}

    /**
     * Passes on a piece; pieces arrive in order, without gap or repetition.
     *
     * @param piece the piece
     */
    void piece(StreamPiece piece);

    /** Keeps the connection alive while the request waits. */
    default void keepAlive() {}

    /**
     * Tells whether more pieces may be passed on without growing buffers.
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
     * Ends the answer.
     *
     * @param end reason and totals
     */
    void end(StreamEnd end);

    /**
     * Ends the request with a failure.
     *
     * @param failure the failure
     * @param retryAfterMillis when to come back in milliseconds, 0 if there is no advice
     */
    void fail(EndiveholdException failure, long retryAfterMillis);
}
