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
 * One stream on one engine. It holds its permits from before the first byte is sent until the engine has finished or
 * cancelled the stream, and releases them exactly once. It may be read over several connections in succession, each
 * with an attempt number; events of all but the latest connection are ignored.
 */
final class EngineStream {
    private static final int MAX_CANCEL_ATTEMPTS = 3;
    private static final long CANCEL_RETRY_MILLIS = 500;

    private final GenerationResources resources;
    private final UpstreamName upstream;
    private final Engine engine;
    private final StreamId id;
    private final List<Permit> permits;
    private final Listener listener;
    private Engine.StreamHandle handle;
    private Connection connection;
    private boolean accepted;
    private boolean closed;
    private boolean paused;
    private int resumes;

    /** Receives the events of the stream. */
    interface Listener {
        /**
         * The engine accepted the stream.
         *
         * @param started what the engine reported when it accepted the stream
         */
        void started(StreamStarted started);

        /**
         * A piece arrived.
         *
         * @param attempt attempt number of the connection
         * @param piece the piece
         */
        void piece(int attempt, StreamPiece piece);

        /**
         * The engine ended the stream. The listener completes it, or fails the connection if tokens are missing.
         *
         * @param end finish reason and token counts
         */
        void finished(StreamEnd end);

        /**
         * The connection failed. The listener abandons or resumes the stream.
         *
         * @param failure the failure
         */
        void failed(EndiveholdException failure);
    }

    /**
     * Creates a stream with permits that were acquired before.
     *
     * @param resources services shared by all runs
     * @param upstream the engine's name
     * @param engine the engine
     * @param id identifier of the stream
     * @param permits the permits, released at the end
     * @param listener receives the events
     */
    EngineStream(
            GenerationResources resources,
            UpstreamName upstream,
            Engine engine,
            StreamId id,
            List<Permit> permits,
            Listener listener) {
        this.resources = resources;
        this.upstream = upstream;
        this.engine = engine;
        this.id = id;
        this.permits = permits;
        this.listener = listener;
    }

    /**
     * Sends the request.
     *
     * @param attempt attempt number of the connection
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
     * @param attempt attempt number of the connection
     * @param offset number of tokens that were received already
     */
    void resume(int attempt, long offset) {
        resumes++;
        accepted = true;
        Connection next = new Connection(attempt);
        connection = next;
        opened(next, engine.resume(id, offset, next));
    }

    private void opened(Connection from, Engine.StreamHandle newHandle) {
        if (closed) {
            newHandle.cancel();
        } else if (from == connection) {
            handle = newHandle;
            if (paused) {
                newHandle.pause(true);
            }
        }
    }

    /** Closes a stream that the engine has ended, and releases the permits. */
    void complete() {
        if (!closed) {
            closed = true;
            release();
        }
    }

    /** Ignores further events, cancels the stream, and releases the permits once this is confirmed or given up. */
    void abandon() {
        if (closed) {
            return;
        }
        closed = true;
        if (handle != null) {
            handle.cancel();
        }
        cancel(MAX_CANCEL_ATTEMPTS);
    }

    private void cancel(int attemptsLeft) {
        engine.cancel(id).whenComplete((done, failure) -> {
            if (failure == null || attemptsLeft == 1) {
                release();
            } else {
                resources.context().vertx().setTimer(CANCEL_RETRY_MILLIS, timer -> cancel(attemptsLeft - 1));
            }
        });
    }

    private void release() {
        resources.release(permits);
    }

    /**
     * Pauses or continues the delivery of pieces.
     *
     * @param value whether to pause
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

    /** Fails the current connection, as if the engine had closed it with this failure. */
    void failConnection(EndiveholdException failure) {
        if (connection != null) {
            connection.failed(failure);
        }
    }

    /** Detaches the current connection, whose further events are ignored. */
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
        return id;
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
