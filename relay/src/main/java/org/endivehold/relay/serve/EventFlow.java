package org.endivehold.relay.serve;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.util.OptionalLong;
import org.endivehold.misc.Ticker;

/**
 * Carries the events of one stream from its source to the caller, at the pace of the slower of the two and without
 * holding up other requests.
 *
 * <p>All requests of a daemon share one event loop, and a source may send any number of bytes at once. So a block of
 * bytes is passed on in turns of a limited number of events, and the other requests have theirs in between. The events
 * of a turn are written together. While a turn is pending, or the caller has not taken what was written, nothing is
 * read from the source. Example: of a block with 20,000 comments, 256 are written in each turn, and the next block is
 * read after the last of them.
 */
final class EventFlow {
    /** Where the bytes of the stream come from. */
    interface Source {
        /** Stops reading until {@link #resume}, which follows exactly once. */
        void pause();

        /** Reads on after {@link #pause}. */
        void resume();
    }

    /** Where the events go. */
    interface Sink {
        /** Writes the events that the listener has passed on since the last call. */
        void flushEvents();

        /** Returns whether the caller reads more slowly than events are written. */
        boolean isCongested();

        /** Sets the action that runs each time the caller has read what was written while it was congested. */
        void onDrained(Runnable action);
    }

    /** Gets what the flow finds in the bytes. */
    interface Listener {
        /** A complete event has arrived; it is written to the caller at the end of the turn. */
        void event(OptionalLong id, Buffer bytes);

        /** The source sends more bytes without a complete event than an event can have. */
        void oversized();
    }

    /** Largest event, in bytes; what is larger is no event of an engine. */
    static final int MAX_EVENT_BYTES = 1 << 20;
    /** Events that are passed on before other requests have their turn. */
    private static final int MAX_EVENTS_PER_TURN = 256;

    private final Vertx vertx;
    private final Ticker ticker;
    private final Sink sink;
    private final Source source;
    private final Listener listener;
    private final EventSplitter splitter;
    private Runnable onDrained = () -> {};
    private boolean paused;
    private boolean turnPending;
    private boolean heldBack;
    private double heldBackUntil = Double.NEGATIVE_INFINITY;
    private boolean stopped;

    /**
     * Creates a flow.
     *
     * @param vertx runs the turns, on the event loop of the stream
     * @param ticker the clock
     * @param sink where the events go
     * @param source where the bytes come from
     * @param listener gets the events
     */
    EventFlow(Vertx vertx, Ticker ticker, Sink sink, Source source, Listener listener) {
        this.vertx = vertx;
        this.ticker = ticker;
        this.sink = sink;
        this.source = source;
        this.listener = listener;
        this.splitter = new EventSplitter(this::event);
    }

    private void event(OptionalLong id, Buffer bytes) {
        if (!stopped) {
            listener.event(id, bytes);
        }
    }

    /** Takes the next bytes of the stream. */
    void feed(Buffer bytes) {
        splitter.add(bytes);
        if (!isPending()) {
            takeTurn();
        }
    }

    /** Runs an action once all complete events of the bytes so far have been passed on; the source has ended. */
    void whenDrained(Runnable action) {
        if (isPending()) {
            onDrained = action;
        } else {
            action.run();
        }
    }

    /** Passes nothing on any more. */
    void stop() {
        stopped = true;
    }

    /** Returns whether the bytes so far end inside an event. */
    boolean hasPartialEvent() {
        return splitter.hasPartialEvent();
    }

    /** Returns the number of bytes that have not been passed on. */
    int bufferedBytes() {
        return splitter.bufferedBytes();
    }

    /** Returns what follows the last event of a stream that has ended, see {@link EventSplitter#rest}. */
    Buffer rest() {
        return splitter.rest();
    }

    /**
     * Returns when the caller last kept the source waiting, in milliseconds: now, if it does; negative infinity if it
     * never did. Until then the source had no chance to be heard.
     */
    double heldBackUntil() {
        return heldBack ? (double) ticker.millis() : heldBackUntil;
    }

    private boolean isPending() {
        return turnPending || heldBack;
    }

    private void takeTurn() {
        turnPending = false;
        if (stopped) {
            return;
        }
        boolean unfinished = splitter.pass(MAX_EVENTS_PER_TURN);
        sink.flushEvents();
        if (stopped) {
            return;
        }
        if (!unfinished && splitter.bufferedBytes() > MAX_EVENT_BYTES) {
            stop();
            listener.oversized();
        } else if (sink.isCongested()) {
            pause();
            heldBack = true;
            sink.onDrained(this::callerReady);
        } else if (unfinished) {
            pause();
            scheduleTurn();
        } else {
            resume();
            onDrained.run();
        }
    }

    private void pause() {
        if (!paused) {
            paused = true;
            source.pause();
        }
    }

    private void resume() {
        if (paused) {
            paused = false;
            source.resume();
        }
    }

    private void scheduleTurn() {
        turnPending = true;
        vertx.runOnContext(ignored -> takeTurn());
    }

    private void callerReady() {
        if (heldBack) {
            heldBackUntil = (double) ticker.millis();
            heldBack = false;
            scheduleTurn();
        }
    }
}
