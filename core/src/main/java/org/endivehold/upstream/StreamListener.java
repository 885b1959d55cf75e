package org.endivehold.upstream;

import org.endivehold.error.EndiveholdException;

/** Receives the events of one generation stream. {@link #finished} or {@link #failed} is the last call. */
public interface StreamListener {
    /**
     * Called when the engine has accepted the stream.
     *
     * @param started the stream and the boot number of the engine
     */
    default void started(StreamStarted started) {}

    /**
     * Called for each piece of text.
     *
     * @param piece the piece, with its position in the answer
     */
    void piece(StreamPiece piece);

    /**
     * Called when the stream is complete.
     *
     * @param end the finish reason and the token counts
     */
    void finished(StreamEnd end);

    /**
     * Called when the stream was interrupted or could not be started.
     *
     * @param failure the failure; its run outcome shows whether the engine may have run the request
     */
    void failed(EndiveholdException failure);
}
