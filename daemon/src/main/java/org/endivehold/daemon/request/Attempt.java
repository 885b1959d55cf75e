package org.endivehold.daemon.request;

import org.endivehold.error.EndiveholdException;
import org.endivehold.grant.Permit;
import org.endivehold.misc.StreamId;
import org.endivehold.upstream.Engine;
import org.endivehold.upstream.GenerateRequest;
import org.endivehold.upstream.StreamEnd;
import org.endivehold.upstream.StreamListener;
import org.endivehold.upstream.StreamPiece;
import org.endivehold.upstream.StreamStarted;

/**
 * One attempt of a generation on one engine. It holds the permit from before the first byte goes upstream until the
 * engine has nothing left of the stream, and gives it back exactly once. Once closed it passes nothing on.
 */
final class Attempt implements StreamListener {
    private final int number;
    private final Permit permit;
    private final Engine engine;
    private final StreamId stream;
    private final Owner owner;
    private Engine.StreamHandle handle;
    private boolean closed;
    private boolean paused;

    /** What an attempt tells the run that it belongs to. */
    interface Owner {
        /**
         * The engine accepted the stream.
         *
         * @param attempt the attempt
         * @param started the acceptance
         */
        void started(Attempt attempt, StreamStarted started);

        /**
         * A piece arrived.
         *
         * @param attempt the attempt
         * @param piece the piece
         */
        void piece(Attempt attempt, StreamPiece piece);

        /**
         * The stream is complete.
         *
         * @param attempt the attempt, which has given its permit back
         * @param end reason and totals
         */
        void finished(Attempt attempt, StreamEnd end);

        /**
         * The stream broke off. The attempt stays open until {@link Attempt#abandon}.
         *
         * @param attempt the attempt
         * @param failure the failure
         */
        void failed(Attempt attempt, EndiveholdException failure);

        /**
         * The permit is free.
         *
         * @param permit the permit
         */
        void release(Permit permit);
    }

    /**
     * Creates an attempt that holds its permit already.
     *
     * @param number number of the attempt, from one
     * @param permit the permit
     * @param engine the engine
     * @param stream name of the stream
     * @param owner the run
     */
    Attempt(int number, Permit permit, Engine engine, StreamId stream, Owner owner) {
        this.number = number;
        this.permit = permit;
        this.engine = engine;
        this.stream = stream;
        this.owner = owner;
    }

    /**
     * Sends the request.
     *
     * @param request the request
     */
    void start(GenerateRequest request) {
        opened(engine.start(request, this));
    }

    private void opened(Engine.StreamHandle opened) {
        handle = opened;
        if (closed) {
            opened.cancel();
        } else if (paused) {
            opened.pause(true);
        }
    }

    /** Drops what still comes, cancels the stream upstream, and gives the permit back when the engine has confirmed. */
    void abandon() {
        if (closed) {
            return;
        }
        closed = true;
        if (handle != null) {
            handle.cancel();
        }
        engine.cancel(stream).whenComplete((done, failure) -> owner.release(permit));
    }

    /**
     * Holds back further pieces, or goes on.
     *
     * @param value whether to hold back
     */
    void pause(boolean value) {
        if (paused != value) {
            paused = value;
            if (handle != null) {
                handle.pause(value);
            }
        }
    }

    @Override
    public void started(StreamStarted started) {
        if (!closed) {
            owner.started(this, started);
        }
    }

    @Override
    public void piece(StreamPiece piece) {
        if (!closed) {
            owner.piece(this, piece);
        }
    }

    @Override
    public void finished(StreamEnd end) {
        if (!closed) {
            closed = true;
            owner.release(permit);
            owner.finished(this, end);
        }
    }

    @Override
    public void failed(EndiveholdException failure) {
        if (!closed) {
            owner.failed(this, failure);
        }
    }

    /**
     * Returns the number of the attempt.
     *
     * @return the number, from one
     */
    int number() {
        return number;
    }

    /**
     * Returns the permit.
     *
     * @return the permit
     */
    Permit permit() {
        return permit;
    }

    /**
     * Returns the name of the stream on the engine.
     *
     * @return the stream
     */
    StreamId stream() {
        return stream;
    }
}
