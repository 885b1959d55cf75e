package org.endivehold.daemon.upstream;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.error.RunOutcome;
import org.endivehold.misc.UpstreamName;

/** Splits a byte stream into server-sent events, wherever the chunks of the stream are cut. */
public final class EventStreamParser {
    private static final int MAX_EVENT_BYTES = 1 << 20;
    private static final String EVENT = "event:";
    private static final String DATA = "data:";
    private static final String ID = "id:";

    private final UpstreamName upstream;
    private Buffer rest = Buffer.buffer();
    private String name = "";
    private String id = "";
    private StringBuilder data = new StringBuilder();

    /**
     * One event.
     *
     * @param name its name, empty if it has none
     * @param id its identifier, empty if it has none
     * @param data its data
     */
    public record Event(String name, String id, String data) {}

    /**
     * Creates a parser.
     *
     * @param upstream who sends the stream, for errors
     */
    public EventStreamParser(UpstreamName upstream) {
        this.upstream = upstream;
    }

    /**
     * Takes the next bytes.
     *
     * @param chunk the bytes
     * @return the events that are complete now, in order
     * @throws EndiveholdException of type {@code UPSTREAM_PROTOCOL} if an event exceeds the bound
     */
    public List<Event> feed(Buffer chunk) throws EndiveholdException {
        Buffer bytes = rest.length() == 0 ? chunk : rest.appendBuffer(chunk);
        List<Event> events = new ArrayList<>();
        int from = 0;
        for (int i = from; i < bytes.length(); i++) {
            if (bytes.getByte(i) == '\n') {
                line(bytes.getString(from, i, StandardCharsets.UTF_8.name()), events);
                from = i + 1;
            }
        }
        rest = Buffer.buffer().appendBuffer(bytes, from, bytes.length() - from);
        if (rest.length() + data.length() > MAX_EVENT_BYTES) {
            throw new EndiveholdException(
                    RunOutcome.UNKNOWN, ErrorType.UPSTREAM_PROTOCOL, upstream, "an event is too large");
        }
        return events;
    }

    private void line(String raw, List<Event> events) {
        String line = raw.endsWith("\r") ? raw.substring(0, raw.length() - 1) : raw;
        if (line.startsWith(EVENT)) {
            name = line.substring(EVENT.length()).strip();
        } else if (line.startsWith(ID)) {
            id = line.substring(ID.length()).strip();
        } else if (line.startsWith(DATA)) {
            data.append(data.length() == 0 ? "" : "\n")
                    .append(line.substring(DATA.length()).strip());
        } else if (line.isEmpty()) {
            if (data.length() > 0) {
                events.add(new Event(name, id, data.toString()));
            }
            name = "";
            id = "";
            data = new StringBuilder();
        }
    }
}
