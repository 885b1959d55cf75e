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
 *
 * <p>A success is always an upstream's: an answer of which nothing passes is a success only if a caller resumes a
 * stream by itself, and the answer says with a marked end that nothing is left.
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
        NOT_RESUMED("not-resumed"),
        /** Ids do not increase, so one of them is wrong, and nobody knows what the caller has. */
        OUT_OF_ORDER("out-of-order");

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
    private boolean outOfOrder;

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

    /**
     * Returns whether the request may run once more after attempts that may have run: it has to be idempotent, and once
     * events have passed, their ids have to tell where another upstream goes on.
     *
     * @param possibleRuns upstreams that may have run it, by way of whichever daemon
     */
    boolean mayRunAgain(int possibleRuns) {
        boolean positionKnown = !exchange.responseBegun() || (sequence.lastId().isPresent() && !outOfOrder);
        return positionKnown
                && exchange.route().idempotent()
                && possibleRuns + 1 < exchange.route().maxAttempts();
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
        return switch (sequence.next(id, bytes)) {
            case PASS -> {
                exchange.beginStream(head.status(), head.headers());
                exchange.writeEvent(bytes);
                yield Optional.empty();
            }
            case LEFT_OUT -> Optional.empty();
            case GAP -> Optional.of(Fault.GAP);
            case OUT_OF_ORDER -> {
                outOfOrder = true;
                yield Optional.of(Fault.OUT_OF_ORDER);
            }
        };
    }

    /**
     * Returns why an answer that has ended is no whole stream, if it is none.
     *
     * @param flow the events of the answer, which have all been passed on
     * @param endMarked whether the end of the answer was marked, by a length for instance, rather than by the end of
     *     its connection
     */
    Optional<Fault> faultAtEnd(EventFlow flow, boolean endMarked) {
        if (flow.hasPartialEvent()) {
            return Optional.of(Fault.PARTIAL);
        }
        if (sequence.isPositionConfirmed()) {
            return eventReceived ? Optional.empty() : Optional.of(Fault.PARTIAL);
        }
        boolean nothingLeft = !eventReceived && endMarked && !exchange.responseBegun();
        return nothingLeft ? Optional.empty() : Optional.of(Fault.NOT_RESUMED);
    }

    /**
     * Ends the stream as complete. A caller who has resumed a stream of which nothing is left gets the head of the
     * answer that says so.
     *
     * @param head head of the answer
     * @param rest what follows the last event, which is no event
     */
    void complete(Head head, Buffer rest) {
        exchange.beginStream(head.status(), head.headers());
        exchange.completeStream(rest);
    }
}
