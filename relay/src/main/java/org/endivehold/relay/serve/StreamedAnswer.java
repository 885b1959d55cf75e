package org.endivehold.relay.serve;

import io.vertx.core.buffer.Buffer;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;

/**
 * An answer that is an event stream: passes its events on to the caller as they arrive, and ends the caller's stream if
 * the answer is whole.
 */
final class StreamedAnswer implements EventFlow.Listener {
    /** Is notified of the end of the answer, once. */
    interface Listener {
        /** The answer is whole; the caller's stream ends right after this. */
        void streamWhole();

        /** The answer cannot be passed on to its end; the upstream may still be sending. */
        void streamBroken(String cause);
    }

    private final RelayContext context;
    private final Exchange exchange;
    private final CallerStream stream;
    private final CallerStream.Head head;
    private final Listener listener;
    private final EventFlow flow;
    private double firstEventAt = Double.NaN;
    private boolean ended;

    /**
     * Begins an answer of which the head has arrived.
     *
     * @param context components that are shared by all handlers
     * @param exchange the response that the events go to
     * @param stream the caller's stream
     * @param head head of the answer
     * @param source where its bytes come from
     * @param listener is notified of the end
     */
    StreamedAnswer(
            RelayContext context,
            Exchange exchange,
            CallerStream stream,
            CallerStream.Head head,
            EventFlow.Source source,
            Listener listener) {
        this.context = context;
        this.exchange = exchange;
        this.stream = stream;
        this.head = head;
        this.listener = listener;
        flow = new EventFlow(context.vertx(), context.ticker(), exchange, source, this);
    }

    /** Takes the next bytes of the answer. */
    void feed(Buffer bytes) {
        if (!ended) {
            flow.feed(bytes);
        }
    }

    /**
     * Ends the answer once its events have been passed on: its source has sent all of it.
     *
     * @param endMarked whether its end was marked, rather than by the end of a connection
     */
    void sourceEnded(boolean endMarked) {
        flow.whenDrained(() -> end(endMarked));
    }

    /** Passes nothing on any more. */
    void stop() {
        ended = true;
        flow.stop();
    }

    /** Returns whether nothing is passed on any more. */
    boolean ended() {
        return ended;
    }

    /** Returns the number of bytes that have not been passed on. */
    int bufferedBytes() {
        return flow.bufferedBytes();
    }

    /** Returns the time since the first event, in milliseconds; empty if none has arrived. */
    OptionalDouble answeringMillis() {
        return Double.isNaN(firstEventAt) ? OptionalDouble.empty() : OptionalDouble.of(context.now() - firstEventAt);
    }

    @Override
    public void event(OptionalLong id, Buffer bytes) {
        if (ended || exchange.ended()) {
            return;
        }
        if (Double.isNaN(firstEventAt)) {
            firstEventAt = context.now();
        }
        stream.event(id, bytes, head).ifPresent(fault -> breakOff(fault.label()));
    }

    @Override
    public void oversized() {
        breakOff("oversized");
    }

    private void end(boolean endMarked) {
        if (ended) {
            return;
        }
        Optional<CallerStream.Fault> fault = stream.faultAtEnd(flow, endMarked);
        if (fault.isPresent()) {
            breakOff(fault.get().label());
            return;
        }
        stop();
        listener.streamWhole();
        stream.complete(head, flow.rest());
    }

    private void breakOff(String cause) {
        if (!ended) {
            stop();
            listener.streamBroken(cause);
        }
    }
}
