package org.endivehold.relay.serve;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import java.util.function.BiConsumer;

/**
 * Splits the bytes of an event stream (text/event-stream) into complete events, each with its id.
 *
 * <p>An event ends with an empty line. Its bytes are passed on unchanged. Bytes of an incomplete event stay in the
 * buffer, so that a stream that breaks off inside an event never passes on a part of it.
 */
final class EventSplitter {
    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';

    private final BiConsumer<OptionalLong, Buffer> events;
    private Buffer pending = Buffer.buffer();
    private int scanned;
    private int lineStart;

    EventSplitter(BiConsumer<OptionalLong, Buffer> events) {
        this.events = events;
    }

    /** Adds the next bytes of the stream and passes on each event that they complete. */
    void feed(Buffer bytes) {
        pending.appendBuffer(bytes);
        int eventStart = 0;
        for (; scanned < pending.length(); scanned++) {
            if (pending.getByte(scanned) != LINE_FEED) {
                continue;
            }
            if (atEmptyLine() && lineStart > eventStart) {
                Buffer event = pending.getBuffer(eventStart, scanned + 1);
                eventStart = scanned + 1;
                events.accept(id(event), event);
            }
            lineStart = scanned + 1;
        }
        if (eventStart > 0) {
            pending = pending.getBuffer(eventStart, pending.length());
            scanned -= eventStart;
            lineStart -= eventStart;
        }
    }

    /** Returns whether bytes of an incomplete event are buffered. */
    boolean hasPartialEvent() {
        return partialBytes() > 0;
    }

    /** Returns the number of buffered bytes of an incomplete event. */
    int partialBytes() {
        return pending.length();
    }

    private boolean atEmptyLine() {
        int length = scanned - lineStart;
        return length == 0 || (length == 1 && pending.getByte(lineStart) == CARRIAGE_RETURN);
    }

    private static OptionalLong id(Buffer event) {
        for (String line : event.toString(StandardCharsets.UTF_8).lines().toList()) {
            if (line.startsWith("id:")) {
                try {
                    return OptionalLong.of(Long.parseLong(line.substring(3).trim()));
                } catch (NumberFormatException e) {
                    return OptionalLong.empty();
                }
            }
        }
        return OptionalLong.empty();
    }
}
