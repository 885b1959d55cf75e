package org.endivehold.relay.serve;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The event stream that a caller receives, put together from the answers of one or more attempts.
 *
 * <p>All handlers ask here which events of an answer pass, whether the answer is a whole stream, and whether another
 * attempt may go on with it. An answer is whole if it ends between two events and shows that it is at the caller's
 * position. How the end of its body is marked (a length, chunks, the end of the connection) says nothing of that: a
 * server that crashes inside an event may close its connection in order.
 *
 * <p>Example: the first answer has events 1 to 3 and half of event 4, so it is {@link Fault#PARTIAL}. Another upstream
 * is asked for what follows event 3 and sends events 3 to 6: event 3 is left out, 4 to 6 pass, and the stream is whole.
 */
final class CallerStream {
    /** Status and headers of an answer, which are the caller's if the answer is the first of which an event passes. */
    record Head(int status, MultiMap headers) {
        /** Returns whether the status is a success (2xx). */
        boolean isSuccess() {
            return status / 100 == 2;
        }
    }

    /** Why an answer is no whole stream. */
    enum Fault {
        /** Events between the caller's position and those of the answer are missing. */
        GAP("gap"),
        /** The answer ends inside an event, or before the first. */
        PARTIAL("partial"),
        /** The answer does not show that it goes on at the caller's position. */
        NOT_RESUMED("not-resumed");

        private final String label;

        Fault(String label) {
            this.label = label;
        }

        /** Returns the name of the fault in logs and metrics. */
        String label() {
            return label;
        }
    }

    private final Exchange exchange;
    private final EventSequence sequence;
    private boolean eventReceived;

    /**
     * Creates a stream without events.
     *
     * @param exchange the response that the events go to
     * @param lastEventId id of the last event that the caller has; empty if it has none
     */
    CallerStream(Exchange exchange, OptionalLong lastEventId) {
        this.exchange = exchange;
        this.sequence = new EventSequence(lastEventId);
    }

    /** Returns the id of the last event that the caller has. */
    OptionalLong lastEventId() {
        return sequence.lastId();
    }

    /** Returns whether another attempt can go on: without an id, nobody can tell where an upstream has to go on. */
    boolean isPositionKnown() {
        return !exchange.responseBegun() || sequence.lastId().isPresent();
    }

    /** Begins another attempt. */
    void beginAttempt() {
        sequence.beginAttempt(exchange.responseBegun());
        eventReceived = false;
    }

    /**
     * Passes on an event of an answer, unless the caller has it.
     *
     * @return the fault that ends the answer, if there is one
     */
    Optional<Fault> event(OptionalLong id, Buffer bytes, Head head) {
        eventReceived = true;
        EventSequence.Verdict verdict = sequence.next(id);
        if (verdict == EventSequence.Verdict.GAP) {
            return Optional.of(Fault.GAP);
        }
        if (verdict == EventSequence.Verdict.PASS) {
            exchange.beginStream(head.status(), head.headers());
            exchange.writeEvent(bytes);
        }
        return Optional.empty();
    }

    /**
     * Returns why an answer that has ended is no whole stream, if it is none.
     *
     * @param flow the events of the answer, which have all been passed on
     */
    Optional<Fault> faultAtEnd(EventFlow flow) {
        if (flow.hasPartialEvent() || !eventReceived) {
            return Optional.of(Fault.PARTIAL);
        }
        return sequence.isPositionUnconfirmed() ? Optional.of(Fault.NOT_RESUMED) : Optional.empty();
    }

    /**
     * Ends the stream as complete.
     *
     * @param rest what follows the last event, which is no event
     */
    void complete(Buffer rest) {
        exchange.completeStream(rest);
    }
}
