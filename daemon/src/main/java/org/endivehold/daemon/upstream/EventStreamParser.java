package org.endivehold.daemon.upstream;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.error.RunOutcome;
import org.endivehold.misc.UpstreamName;

/** Incremental parser of server-sent events; the input may be split into chunks at any byte. */
public final class EventStreamParser {
    private static final int MAX_EVENT_BYTES = 1 << 20;
    private static final String EVENT = "event:";
    private static final String DATA = "data:";
    private static final String ID = "id:";

    private final UpstreamName upstream;
    private Buffer incompleteLine = Buffer.buffer();
    private String name = "";
    private String id = "";
    private StringBuilder data = new StringBuilder();

    /**
     * One event of the stream.
     *
     * @param name value of its {@code event} field, empty if it has none
     * @param id value of its {@code id} field, empty if it has none
     * @param data its {@code data} lines, joined with line feeds
     */
    public record Event(String name, String id, String data) {}

    /**
     * Creates a parser.
     *
     * @param upstream the sender of the stream, named in failures
     */
    public EventStreamParser(UpstreamName upstream) {
        this.upstream = upstream;
    }

    /**
     * Parses the next bytes.
     *
     * @param chunk the bytes
     * @return the events that these bytes complete, in order
     * @throws EndiveholdException of type {@code UPSTREAM_PROTOCOL} if an event exceeds 1 MiB
     */
    public List<Event> feed(Buffer chunk) throws EndiveholdException {
        Buffer bytes = incompleteLine.length() == 0 ? chunk : incompleteLine.appendBuffer(chunk);
        List<Event> events = new ArrayList<>();
        int from = 0;
        for (int i = from; i < bytes.length(); i++) {
            if (bytes.getByte(i) == '\n') {
                parseLine(bytes.getString(from, i, StandardCharsets.UTF_8.name()), events);
                from = i + 1;
            }
        }
        incompleteLine = Buffer.buffer().appendBuffer(bytes, from, bytes.length() - from);
        if (incompleteLine.length() + data.length() > MAX_EVENT_BYTES) {
            throw new EndiveholdException(
                    RunOutcome.UNKNOWN, ErrorType.UPSTREAM_PROTOCOL, upstream, "an event is too large");
        }
        return events;
    }

    private void parseLine(String raw, List<Event> events) {
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
