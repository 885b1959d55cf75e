package org.endivehold.relay.serve;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import java.util.function.BiConsumer;

/**
 * Splits the bytes of an event stream (text/event-stream) into complete events, each with its id.
 *
 * <p>An event ends with an empty line after at least one line that is not empty. Its bytes are passed on unchanged.
 * Empty lines before it are no event; they are passed on as a part of the next one, or as the rest of the stream. Bytes
 * of an incomplete event stay in the buffer, so that a stream that breaks off inside an event never passes on a part of
 * it.
 */
final class EventSplitter {
    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';
    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

    private final BiConsumer<OptionalLong, Buffer> events;
    private Buffer pending = Buffer.buffer();
    private int scanned;
    private int lineStart;
    /** Whether the buffer begins with an event that has a line which is not empty. */
    private boolean begun;

    EventSplitter(BiConsumer<OptionalLong, Buffer> events) {
        this.events = events;
    }

    /** Adds the next bytes of the stream. */
    void add(Buffer bytes) {
        pending.appendBuffer(bytes);
    }

    /**
     * Passes on complete events.
     *
     * @param maxEvents number of events after which it stops
     * @return whether it stopped before the end of the bytes
     */
    boolean pass(int maxEvents) {
        int eventStart = 0;
        int passed = 0;
        for (; scanned < pending.length() && passed < maxEvents; scanned++) {
            if (pending.getByte(scanned) != LINE_FEED) {
                continue;
            }
            if (!atEmptyLine()) {
                begun = true;
            } else if (begun) {
                Buffer event = pending.getBuffer(eventStart, scanned + 1);
                eventStart = scanned + 1;
                begun = false;
                passed++;
                events.accept(id(event), event);
            }
            lineStart = scanned + 1;
        }
        removeUpTo(eventStart);
        return scanned < pending.length();
    }

    private void removeUpTo(int end) {
        if (end > 0) {
            pending = pending.getBuffer(end, pending.length());
            scanned -= end;
            lineStart -= end;
        }
    }

    /** Returns whether bytes of an incomplete event are buffered; empty lines alone are none. */
    boolean hasPartialEvent() {
        int lineLength = pending.length() - lineStart;
        return begun || lineLength > 1 || (lineLength == 1 && pending.getByte(lineStart) != CARRIAGE_RETURN);
    }

    /** Returns the number of buffered bytes. */
    int bufferedBytes() {
        return pending.length();
    }

    /** Returns what is left after the last event of a stream that has ended: empty lines, or an incomplete event. */
    Buffer rest() {
        return pending;
    }

    private boolean atEmptyLine() {
        int length = scanned - lineStart;
        return length == 0 || (length == 1 && pending.getByte(lineStart) == CARRIAGE_RETURN);
    }

    /** Returns the value of the first id field; empty if there is none, or if it is no number. */
    private static OptionalLong id(Buffer event) {
        int start = 0;
        for (int at = 0; at < event.length(); at++) {
            if (event.getByte(at) != LINE_FEED) {
                continue;
            }
            if (isIdField(event, start, at)) {
                return number(event.getString(start + ID_FIELD.length, at).trim());
            }
            start = at + 1;
        }
        return OptionalLong.empty();
    }

    private static boolean isIdField(Buffer event, int start, int end) {
        if (end - start < ID_FIELD.length) {
            return false;
        }
        for (int i = 0; i < ID_FIELD.length; i++) {
            if (event.getByte(start + i) != ID_FIELD[i]) {
                return false;
            }
        }
        return true;
    }

    private static OptionalLong number(String text) {
        try {
            return OptionalLong.of(Long.parseLong(text));
        } catch (NumberFormatException e) {
            return OptionalLong.empty();
        }
    }
}
