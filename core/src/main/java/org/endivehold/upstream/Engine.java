package org.endivehold.upstream;

import java.util.List;
import java.util.concurrent.CompletionStage;
import org.endivehold.misc.StreamId;

/**
 * Client interface to one model engine.
 *
 * <p>Failures are {@link org.endivehold.error.EndiveholdException}s: {@code UPSTREAM_REFUSED} with run outcome
 * {@code NO} only if the engine itself reported that the request did not start; {@code UPSTREAM_UNREACHABLE} if no byte
 * was sent; {@code UPSTREAM_BROKEN} and {@code UPSTREAM_TIMEOUT} otherwise.
 */
public interface Engine {
    /**
     * Starts a generation.
     *
     * @param request what to generate
     * @param listener receives the pieces in order, on a thread of the implementation
     * @return a handle that can cancel the stream; cancelling it again has no further effect
     */
    StreamHandle start(GenerateRequest request, StreamListener listener);

    /**
     * Reads a running or recently finished stream from an offset on.
     *
     * @param stream the stream
     * @param offset number of tokens that were already received
     * @param listener receives the pieces after the offset
     * @return a handle that can cancel the stream
     */
    StreamHandle resume(StreamId stream, long offset, StreamListener listener);

    /**
     * Cancels a stream and frees its memory; idempotent.
     *
     * @param stream the stream
     * @return completes when the engine has confirmed
     */
    CompletionStage<Void> cancel(StreamId stream);

    /**
     * Reads the load report, which may be outdated; see {@link EngineLoad#ageMillis}.
     *
     * @return the latest report
     */
    CompletionStage<EngineLoad> loadReport();

    /**
     * Sends a control order, such as to load a version.
     *
     * @param order the order with the epoch as its fencing token
     * @return completes when the engine has confirmed; fails with {@code ORDER_FENCED} if the engine has seen a higher
     *     epoch
     */
    CompletionStage<Void> order(EngineOrder order);

    /**
     * Computes the KV cache of one part of a prompt and keeps it on the engine until it is released.
     *
     * @param request the part to prefill, with the cache handles of the preceding parts attached
     * @return the handle of the exported cache
     */
    CompletionStage<CacheHandle> prefillAndExport(GenerateRequest request);

    /**
     * Frees an exported cache; idempotent.
     *
     * @param handle the handle
     * @return completes when the engine has confirmed
     */
    CompletionStage<Void> release(CacheHandle handle);

    /**
     * Reads cache events. Events may arrive late, and some may be missing.
     *
     * @param after sequence number of the last event that was read
     * @return later events, in order
     */
    CompletionStage<List<CacheEvent>> cacheEvents(long after);

    /** Controls the reading of a stream. */
    interface StreamHandle {
        /** Stops reading and cancels the stream on the engine. */
        void cancel();

        /** Stops reading but leaves the stream running on the engine, where it can be resumed. */
        void detach();

        /**
         * Pauses or continues the delivery of pieces to the listener, for back-pressure.
         *
         * @param paused true to pause, false to continue
         */
        void pause(boolean paused);
    }
}
