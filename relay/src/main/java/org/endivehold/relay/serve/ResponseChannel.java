package org.endivehold.relay.serve;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import org.endivehold.error.ErrorType;

/**
 * Carries the response to one request: to a caller over HTTP, or to the daemon that forwarded the request.
 *
 * <p>The response is either complete at once ({@link #respond}, {@link #fail}) or a stream ({@link #beginStream},
 * events, then {@link #endStream} or {@link #breakOff}).
 */
interface ResponseChannel {
    /** Sets the action that runs when the other side closes the connection. */
    void onClosed(Runnable action);

    /** Sends an upstream's response; the result completes when it has been written, or the connection has ended. */
    Future<Void> respond(int status, MultiMap headers, Buffer body);

    /** Begins an upstream's stream. */
    void beginStream(int status, MultiMap headers);

    /** Sends some events of the stream. */
    void writeEvents(Buffer events);

    /** Ends the stream as complete. */
    void endStream();

    /** Closes the connection before the end of the stream, so that it does not look complete. */
    void breakOff();

    /**
     * Responds with a failure of this system.
     *
     * @param status HTTP status
     * @param type what failed
     * @param retryAfterMillis time after which the caller may retry, in milliseconds; 0 to say nothing of it
     */
    void fail(int status, ErrorType type, double retryAfterMillis);

    /**
     * Ends the response after a fault of this daemon, which cannot say what became of the request. A daemon that
     * forwarded the request learns of it by the end of the connection, so that it may have another one run the request.
     *
     * @param begun whether a part of the response may have been sent
     */
    void fault(boolean begun);

    /** Returns whether the other side reads more slowly than events are written. */
    boolean isFull();

    /** Sets the action that runs each time the other side has read what was written after {@link #isFull}. */
    void onDrained(Runnable action);
}
