package org.endivehold.upstream;

import java.util.List;
import java.util.concurrent.CompletionStage;
import org.endivehold.misc.StreamId;

/**
 * One model engine.
 *
 * <p>Failures are {@link org.endivehold.error.EndiveholdException}s: {@code UPSTREAM_REFUSED} with run outcome
 * {@code NO} only if the engine itself said that it did not start; {@code UPSTREAM_UNREACHABLE} if no byte was sent;
 * {@code UPSTREAM_BROKEN} and {@code UPSTREAM_TIMEOUT} otherwise.
 */
public interface Engine {
    /**
     * Starts a generation.
     *
     * @param request what to generate
     * @param listener told of the pieces on the adapter's thread, in order
     * @return a handle that cancels the stream; calling it more than once does nothing more
     */
    StreamHandle start(GenerateRequest request, StreamListener listener);

    /**
     * Reads a stream that already runs, or ended a short while ago, from an offset.
     *
     * @param stream the stream
     * @param offset number of tokens that were received already
     * @param listener told of the later pieces
     * @return a handle that cancels the stream
     */
    StreamHandle resume(StreamId stream, long offset, StreamListener listener);

    /**
     * Cancels a stream and frees its memory; idempotent.
     *
     * @param stream the stream
     * @return when the engine has confirmed
     */
    CompletionStage<Void> cancel(StreamId stream);

    /**
     * Reads the load report, which lags.
     *
     * @return the last report
     */
    CompletionStage<EngineLoad> load();

    /**
     * Gives an order.
     *
     * @param order the order with its epoch
     * @return when the engine has confirmed; fails with {@code ORDER_FENCED} if the engine knows a higher epoch
     */
    CompletionStage<Void> order(EngineOrder order);

    /**
     * Computes the KV cache of a prompt's part and keeps it under a handle.
     *
     * @param request the part to prefill, with the handles of the parts before it attached
     * @return the handle of the exported cache
     */
    CompletionStage<CacheHandle> prefillAndExport(GenerateRequest request);

    /**
     * Frees an exported cache; idempotent.
     *
     * @param handle the handle
     * @return when the engine has confirmed
     */
    CompletionStage<Void> release(CacheHandle handle);

    /**
     * Reads cache events, which come late and with gaps.
     *
     * @param after number of the last event that was read
     * @return later events, in order
     */
    CompletionStage<List<CacheEvent>> cacheEvents(long after);

    /** A running stream as its reader sees it. */
    interface StreamHandle {
        /** Stops reading and cancels the stream on the engine. */
        void cancel();

        /** Stops reading, and leaves the stream running on the engine. */
        void detach();

        /**
         * Asks the adapter to hold back further pieces, or to go on.
         *
         * @param paused whether to hold back
         */
        void pause(boolean paused);
    }
}
