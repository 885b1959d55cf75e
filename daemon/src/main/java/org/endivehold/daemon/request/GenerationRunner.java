package org.endivehold.daemon.request;

/** Runs generation calls: admission, placement, attempts, end. */
public interface GenerationRunner {
    /** Name of the service. */
    String NAME = "generation";

    /**
     * Takes a call.
     *
     * @param call the call
     * @param sink gets the answer
     * @return cancels the call when the caller is gone; does nothing once the call has ended
     */
    Runnable submit(GenerationCall call, AnswerSink sink);

    /**
     * Goes on with a stream whose daemon or connection is gone.
     *
     * @param token the signed token from the first piece
     * @param offset tokens that the caller already has
     * @param sink gets the rest
     * @return cancels the call when the caller is gone
     */
    Runnable reattach(String token, long offset, AnswerSink sink);
}
