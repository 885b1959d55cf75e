package org.endivehold.relay.serve;

import java.util.OptionalLong;

/**
 * The ids of a stream's events as a caller receives them, over several attempts: drops events that come again, and
 * finds out where an attempt that resumes the stream leaves some out.
 */
final class EventSequence {
    /** What to do with an event. */
    enum Verdict {
        /** It is the next one. */
        PASS,
        /** The caller has it, or it does not belong to the stream. */
        REPEATED,
        /** Events before it are missing. */
        GAP
    }

    private OptionalLong lastId;
    private boolean awaitingNextId;
    private boolean lastIdRepeated;

    /** Creates a sequence that goes on after an event, or from the beginning. */
    EventSequence(OptionalLong lastId) {
        this.lastId = lastId;
    }

    /** Returns the id of the last event that passed. */
    OptionalLong lastId() {
        return lastId;
    }

    /** Begins another attempt; its first event has to be the next one if the caller has received any. */
    void beginAttempt(boolean resumes) {
        awaitingNextId = resumes;
        lastIdRepeated = false;
    }

    /**
     * Returns whether an attempt that resumes the stream has not shown yet that it is at the caller's position: neither
     * the last event that the caller has nor the next one has come.
     */
    boolean isPositionUnconfirmed() {
        return awaitingNextId && !lastIdRepeated;
    }

    /**
     * Decides about an event with an id, or one without. In an attempt that resumes the stream, what comes before the
     * first id may belong to anything, such as the text of an error, so it is left out.
     */
    Verdict next(OptionalLong id) {
        if (id.isEmpty() && awaitingNextId) {
            return Verdict.REPEATED;
        }
        if (id.isPresent() && lastId.isPresent()) {
            if (id.getAsLong() <= lastId.getAsLong()) {
                lastIdRepeated = id.getAsLong() == lastId.getAsLong();
                return Verdict.REPEATED;
            }
            if (awaitingNextId && id.getAsLong() != lastId.getAsLong() + 1) {
                return Verdict.GAP;
            }
        }
        awaitingNextId = false;
        if (id.isPresent()) {
            lastId = id;
        }
        return Verdict.PASS;
    }
}
