package org.endivehold.upstream;

import org.endivehold.error.EndiveholdException;

/** Receives one generation stream. After {@link #finished} or {@link #failed} no further call comes. */
public interface StreamListener {
    /**
     * The engine has accepted the stream.
     *
     * @param started which stream, on which boot of the engine
     */
    default void started(StreamStarted started) {}

    /**
     * A piece of text arrived.
     *
     * @param piece the piece, whose offset is the number of tokens before it
     */
    void piece(StreamPiece piece);

    /**
     * The stream is complete.
     *
     * @param end the reason and the totals
     */
    void finished(StreamEnd end);

    /**
     * The stream broke off.
     *
     * @param failure the failure, with what is known about the run
     */
    void failed(EndiveholdException failure);
}
