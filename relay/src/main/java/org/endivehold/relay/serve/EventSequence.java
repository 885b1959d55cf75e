package org.endivehold.relay.serve;

import io.vertx.core.buffer.Buffer;
import java.util.OptionalLong;

/**
 * The ids of a stream's events as a caller receives them, over several attempts: drops events that the caller has, and
 * finds out where an answer is not at the caller's position.
 *
 * <p>Ids are an upstream's bytes and may be wrong, so an answer that goes on after a known event has to show that it is
 * at that position: by the next event, or by the last one with the same content. Anything else confirms nothing.
 * Examples, for a caller who has event 5:
 *
 * <table>
 * <caption>Answers to a request for what follows event 5</caption>
 * <tr><th>events</th><th>verdicts</th></tr>
 * <tr><td>6, 7</td><td>both pass</td></tr>
 * <tr><td>4, 5, 6</td><td>4 and 5 are left out, 6 passes</td></tr>
 * <tr><td>2</td><td>left out; the position stays unconfirmed, as it may be event 6 with a wrong id</td></tr>
 * <tr><td>2, 7</td><td>2 is left out, 7 is a gap: the event before it may have been 6</td></tr>
 * <tr><td>6, 2</td><td>6 passes, 2 is out of order: one of the two ids is wrong</td></tr>
 * </table>
 */
final class EventSequence {
    /** What to do with an event. */
    enum Verdict {
        /** It is the next one. */
        PASS,
        /** The caller has it, or it does not belong to the stream. */
        LEFT_OUT,
        /** Events before it are missing. */
        GAP,
        /** Its id does not follow on that of an event which has passed in the same answer. */
        OUT_OF_ORDER
    }

    /** Tells the content of one event from that of another, without keeping it. */
    private record Fingerprint(int length, int hash) {
        static Fingerprint of(Buffer event) {
            return new Fingerprint(event.length(), event.hashCode());
        }
    }

    private OptionalLong lastId;
    /** Of the event with the last id; null if it did not pass here. */
    private Fingerprint lastEvent;

    private boolean awaitingNextId;
    private boolean gapsAllowed;
    private boolean lastEventRepeated;

    /** Creates a sequence that goes on after an event, or from the beginning. */
    EventSequence(OptionalLong lastId) {
        this.lastId = lastId;
    }

    /** Returns the id of the last event that passed. */
    OptionalLong lastId() {
        return lastId;
    }

    /**
     * Begins another attempt. If the caller has received events in this response, the next one has to follow
     * immediately; a caller who resumes a stream by itself gets what its upstream sends after its position.
     */
    void beginAttempt(boolean responseBegun) {
        awaitingNextId = lastId.isPresent();
        gapsAllowed = !responseBegun;
        lastEventRepeated = false;
    }

    /** Returns whether the attempt has shown that it is at the caller's position. */
    boolean isPositionConfirmed() {
        return !awaitingNextId || lastEventRepeated;
    }

    /** Decides about an event with an id, or one without. */
    Verdict next(OptionalLong id, Buffer event) {
        Verdict verdict = awaitingNextId ? beforePosition(id, event) : afterPosition(id);
        if (verdict == Verdict.PASS) {
            awaitingNextId = false;
            if (id.isPresent()) {
                lastId = id;
                lastEvent = Fingerprint.of(event);
            }
        } else {
            gapsAllowed = false;
        }
        return verdict;
    }

    /** Without an id an event may belong to anything here, such as the text of an error. */
    private Verdict beforePosition(OptionalLong id, Buffer event) {
        long last = lastId.orElseThrow();
        if (id.isEmpty() || id.getAsLong() < last) {
            return Verdict.LEFT_OUT;
        }
        if (id.getAsLong() == last) {
            lastEventRepeated = Fingerprint.of(event).equals(lastEvent);
            return Verdict.LEFT_OUT;
        }
        return gapsAllowed || id.getAsLong() == last + 1 ? Verdict.PASS : Verdict.GAP;
    }

    private Verdict afterPosition(OptionalLong id) {
        boolean follows = id.isEmpty() || lastId.isEmpty() || id.getAsLong() > lastId.getAsLong();
        return follows ? Verdict.PASS : Verdict.OUT_OF_ORDER;
    }
}
