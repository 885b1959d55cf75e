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
        /** The caller has it. */
        REPEATED,
        /** Events before it are missing. */
        GAP
    }

    private OptionalLong lastId;
    private boolean awaitingNextId;

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
    }

    /** Decides about an event with an id, or one without. */
    Verdict next(OptionalLong id) {
        if (id.isPresent() && lastId.isPresent()) {
            if (id.getAsLong() <= lastId.getAsLong()) {
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
