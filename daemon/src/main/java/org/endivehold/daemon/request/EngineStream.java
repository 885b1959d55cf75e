package org.endivehold.daemon.request;

import java.util.List;
import org.endivehold.capacity.Permit;
import org.endivehold.error.EndiveholdException;
import org.endivehold.misc.StreamId;
import org.endivehold.misc.UpstreamName;
import org.endivehold.upstream.Engine;
import org.endivehold.upstream.GenerateRequest;
import org.endivehold.upstream.StreamEnd;
import org.endivehold.upstream.StreamListener;
import org.endivehold.upstream.StreamPiece;
import org.endivehold.upstream.StreamStarted;

/**
 * One stream on one engine. It holds its permits from before the first byte goes upstream until the engine has nothing
 * left of it, and gives them back exactly once. It may be read over several connections, each an attempt with a number;
 * only the latest is listened to.
 */
final class EngineStream {
    private static final int CANCEL_TRIES = 3;
    private static final long CANCEL_RETRY_MILLIS = 500;

    private final GenerationResources resources;
    private final UpstreamName upstream;
    private final Engine engine;
    private final StreamId stream;
    private final List<Permit> permits;
    private final Listener listener;
    private Engine.StreamHandle handle;
    private Connection connection;
    private boolean accepted;
    private boolean closed;
    private boolean paused;
    private int resumes;

    /** Is told what happens on the stream. */
    interface Listener {
        /**
         * The engine accepted the stream.
         *
         * @param started the acceptance
         */
        void started(StreamStarted started);

        /**
         * A piece arrived.
         *
         * @param attempt number of the connection that it came over
         * @param piece the piece
         */
        void piece(int attempt, StreamPiece piece);

        /**
         * The stream is complete. The owner closes it or reads it again.
         *
         * @param end reason and totals
         */
        void finished(StreamEnd end);

        /**
         * The connection broke off. The owner closes the stream or reads it again.
         *
         * @param failure the failure
         */
        void failed(EndiveholdException failure);
    }

    /**
     * Creates a stream that holds its permits already.
     *
     * @param resources what runs use
     * @param upstream the engine's name
     * @param engine the engine
     * @param stream name of the stream
     * @param permits the permits, given back at the end
     * @param listener the run
     */
    EngineStream(
            GenerationResources resources,
            UpstreamName upstream,
            Engine engine,
            StreamId stream,
            List<Permit> permits,
            Listener listener) {
        this.resources = resources;
        this.upstream = upstream;
        this.engine = engine;
        this.stream = stream;
        this.permits = permits;
        this.listener = listener;
    }

    /**
     * Sends the request.
     *
     * @param attempt number of the attempt
     * @param request the request
     */
    void start(int attempt, GenerateRequest request) {
        Connection next = new Connection(attempt);
        connection = next;
        opened(next, engine.start(request, next));
    }

    /**
     * Reads the stream from an offset over a new connection.
     *
     * @param attempt number of the attempt
     * @param offset tokens that were received already
     */
    void resume(int attempt, long offset) {
        resumes++;
        accepted = true;
        Connection next = new Connection(attempt);
        connection = next;
        opened(next, engine.resume(stream, offset, next));
    }

    private void opened(Connection from, Engine.StreamHandle opened) {
        if (closed) {
            opened.cancel();
        } else if (from == connection) {
            handle = opened;
            if (paused) {
                opened.pause(true);
            }
        }
    }

    /** The engine has ended the stream by itself: gives the permits back. */
    void complete() {
        if (!closed) {
            closed = true;
            release();
        }
    }

    /** Drops what still comes, cancels the stream, and gives the permits back when the engine has confirmed. */
    void abandon() {
        if (closed) {
            return;
        }
        closed = true;
        if (handle != null) {
            handle.cancel();
        }
        cancel(CANCEL_TRIES);
    }

    private void cancel(int tries) {
        engine.cancel(stream).whenComplete((done, failure) -> {
            if (failure == null || tries == 1) {
                release();
            } else {
                resources.context().vertx().setTimer(CANCEL_RETRY_MILLIS, id -> cancel(tries - 1));
            }
        });
    }

    private void release() {
        resources.release(permits);
    }

    /**
     * Holds back further pieces, or goes on.
     *
     * @param value whether to hold back
     */
    void pause(boolean value) {
        if (paused == value) {
            return;
        }
        paused = value;
        if (handle != null && !closed) {
            handle.pause(value);
        }
    }

    /** Fails the present connection, as if the engine had broken it. */
    void breakOff(EndiveholdException failure) {
        if (connection != null) {
            connection.failed(failure);
        }
    }

    /** Ignores everything that the present connection still brings. */
    private void disconnect() {
        connection = null;
        if (handle != null) {
            handle.detach();
            handle = null;
        }
    }

    UpstreamName upstream() {
        return upstream;
    }

    StreamId id() {
        return stream;
    }

    boolean isAccepted() {
        return accepted;
    }

    boolean isPaused() {
        return paused;
    }

    int resumes() {
        return resumes;
    }

    /** One connection to the stream. */
    private final class Connection implements StreamListener {
        private final int attempt;

        Connection(int attempt) {
            this.attempt = attempt;
        }

        private boolean isCurrent() {
            return !closed && connection == this;
        }

        @Override
        public void started(StreamStarted started) {
            if (isCurrent()) {
                accepted = true;
                listener.started(started);
            }
        }

        @Override
        public void piece(StreamPiece piece) {
            if (isCurrent()) {
                listener.piece(attempt, piece);
            }
        }

        @Override
        public void finished(StreamEnd end) {
            if (isCurrent()) {
                listener.finished(end);
            }
        }

        @Override
        public void failed(EndiveholdException failure) {
            if (isCurrent()) {
                disconnect();
                listener.failed(failure);
            }
        }
    }
}
