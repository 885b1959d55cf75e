package org.endivehold.daemon.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.endivehold.error.EndiveholdException;
import org.endivehold.error.ErrorType;
import org.endivehold.misc.UpstreamName;
import org.junit.jupiter.api.Test;

class EventStreamParserTest {
    private static final String TEXT =
            """
            : comment

            event: started
            data: {"a":1}

            id: 7
            data: zwölf\r
            \r
            data: one
            data: two

            data: [DONE]

            """;
    private static final List<EventStreamParser.Event> EVENTS = List.of(
            new EventStreamParser.Event("started", "", "{\"a\":1}"),
            new EventStreamParser.Event("", "7", "zwölf"),
            new EventStreamParser.Event("", "", "one\ntwo"),
            new EventStreamParser.Event("", "", "[DONE]"));

    private final EventStreamParser parser = new EventStreamParser(new UpstreamName("e1"));

    @Property(seed = "41")
    void findsTheSameEventsWhereverChunksAreCut(@ForAll List<@IntRange(min = 0, max = 110) Integer> cuts)
            throws EndiveholdException {
        byte[] bytes = TEXT.getBytes(StandardCharsets.UTF_8);
        int[] sorted = cuts.stream()
                .mapToInt(cut -> Math.min(cut, bytes.length))
                .sorted()
                .toArray();
        EventStreamParser split = new EventStreamParser(new UpstreamName("e1"));
        List<EventStreamParser.Event> events = new ArrayList<>();
        int from = 0;
        for (int cut : sorted) {
            events.addAll(split.feed(Buffer.buffer(Arrays.copyOfRange(bytes, from, cut))));
            from = cut;
        }
        events.addAll(split.feed(Buffer.buffer(Arrays.copyOfRange(bytes, from, bytes.length))));
        assertEquals(EVENTS, events);
    }

    @Test
    void refusesAnEventWithoutEnd() {
        Buffer chunk = Buffer.buffer("x".repeat(600_000));
        EndiveholdException failure = assertThrows(EndiveholdException.class, () -> {
            parser.feed(chunk);
            parser.feed(chunk);
        });
        assertEquals(ErrorType.UPSTREAM_PROTOCOL, failure.type());
    }
}
