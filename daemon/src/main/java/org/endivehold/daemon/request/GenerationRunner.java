package org.endivehold.daemon.request;

/** Runs generation calls from admission to the end of the answer. */
public interface GenerationRunner {
    /** Name under which the kernel keeps the service. */
    String NAME = "generation";

    /**
     * Submits a call.
     *
     * @param call the call
     * @param sink receives the answer
     * @return to be run when the caller disconnects: cancels the call, or does nothing once the call has ended
     */
    Runnable submit(GenerationCall call, AnswerSink sink);

    /**
     * Continues a stream after the daemon that started it failed or the caller lost its connection.
     *
     * @param token the signed token that the caller received with the first piece
     * @param offset number of tokens that the caller already has
     * @param sink receives the rest of the answer
     * @return to be run when the caller disconnects: cancels the stream
     */
    Runnable reattach(String token, long offset, AnswerSink sink);
}
