package org.endivehold.daemon.request;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.endivehold.misc.BootNumber;
import org.endivehold.misc.StreamId;
import org.endivehold.misc.UpstreamName;
import org.endivehold.upstream.CacheEvent;
import org.endivehold.upstream.CacheHandle;
import org.endivehold.upstream.Engine;
import org.endivehold.upstream.EngineLoad;
import org.endivehold.upstream.EngineOrder;
import org.endivehold.upstream.GenerateRequest;
import org.endivehold.upstream.StreamEnd;
import org.endivehold.upstream.StreamListener;
import org.endivehold.upstream.StreamPiece;
import org.endivehold.upstream.StreamStarted;

/** An engine that follows the script of a test; by default it answers any prompt with the letters of the alphabet. */
final class FakeEngine implements Engine {
    static final String ANSWER = "abcdefghijklmnopqrstuvwxyz";

    final UpstreamName name;
    final List<GenerateRequest> started = new ArrayList<>();
    final List<Long> resumedAt = new ArrayList<>();
    final List<StreamId> cancelled = new ArrayList<>();
    final List<CacheHandle> exported = new ArrayList<>();
    final List<CacheHandle> released = new ArrayList<>();
    final List<StreamListener> listeners = new ArrayList<>();
    boolean accepts = true;
    Script onStart = FakeEngine::answerAll;
    Script onResume = FakeEngine::answerAll;
    /** Runs when a part of a prompt has been prefilled. */
    Runnable onExport = () -> {};

    /** Behaviour of an engine on one stream. */
    interface Script {
        /**
         * Plays one stream.
         *
         * @param from number of tokens that the caller already has
         * @param max maximum length of the answer in tokens
         * @param listener receives the events
         */
        void play(long from, int max, StreamListener listener);
    }

    FakeEngine(String name) {
        this.name = new UpstreamName(name);
    }

    static void answerAll(long from, int max, StreamListener listener) {
        pieces(from, max, listener);
        listener.finished(new StreamEnd("length", 1, max));
    }

    static void pieces(long from, long to, StreamListener listener) {
        for (long i = from; i < to; i++) {
            listener.piece(new StreamPiece(i, 1, ANSWER.substring((int) i, (int) i + 1)));
        }
    }

    @Override
    public StreamHandle start(GenerateRequest request, StreamListener listener) {
        started.add(request);
        listeners.add(listener);
        if (accepts) {
            listener.started(new StreamStarted(request.stream(), new BootNumber(1), 0));
        }
        onStart.play(request.deliveredTokens(), request.maxTokens(), listener);
        return handle(request.stream());
    }

    @Override
    public StreamHandle resume(StreamId stream, long offset, StreamListener listener) {
        resumedAt.add(offset);
        listener.started(new StreamStarted(stream, new BootNumber(1), 0));
        onResume.play(offset, ANSWER.length(), listener);
        return handle(stream);
    }

    private StreamHandle handle(StreamId stream) {
        return new StreamHandle() {
            @Override
            public void cancel() {
                cancelled.add(stream);
            }

            @Override
            public void detach() {}

            @Override
            public void pause(boolean paused) {}
        };
    }

    @Override
    public CompletionStage<Void> cancel(StreamId stream) {
        cancelled.add(stream);
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletionStage<EngineLoad> loadReport() {
        return new CompletableFuture<>();
    }

    @Override
    public CompletionStage<Void> order(EngineOrder order) {
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletionStage<CacheHandle> prefillAndExport(GenerateRequest request) {
        CacheHandle handle = new CacheHandle(
                name, "cache-" + exported.size(), (request.prompt().length() + 3) / 4);
        exported.add(handle);
        onExport.run();
        return CompletableFuture.completedFuture(handle);
    }

    @Override
    public CompletionStage<Void> release(CacheHandle handle) {
        released.add(handle);
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletionStage<List<CacheEvent>> cacheEvents(long after) {
        return CompletableFuture.completedFuture(List.of());
    }
}
