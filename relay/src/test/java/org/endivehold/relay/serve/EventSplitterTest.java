package org.endivehold.relay.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Events are split the same wherever the network cuts the stream, and incomplete ones are held back. */
class EventSplitterTest {
    private final List<String> events = new ArrayList<>();
    private final List<Long> ids = new ArrayList<>();
    private final EventSplitter splitter = new EventSplitter((id, bytes) -> {
        events.add(bytes.toString());
        ids.add(id.orElse(-1));
    });

    @Test
    void eventsPassUnchangedWhereverTheBytesAreCut() {
        String stream = "id: 1\ndata: a\n\nversion: 3\nid: 2\ndata: b\n\nid: 3\r\ndata: c\r\n\r\n";
        for (int cut = 1; cut < 7; cut++) {
            events.clear();
            ids.clear();
            for (int at = 0; at < stream.length(); at += cut) {
                feed(Buffer.buffer(stream.substring(at, Math.min(stream.length(), at + cut))));
            }
            assertEquals(stream, String.join("", events));
            assertEquals(List.of(1L, 2L, 3L), ids);
            assertFalse(splitter.hasPartialEvent());
        }
    }

    private void feed(Buffer bytes) {
        splitter.add(bytes);
        splitter.pass(Integer.MAX_VALUE);
    }

    /** Each pair of line feeds counted as an event, some 32,000 in a block of 64 KiB. */
    @Test
    void emptyLinesAreNoEvent() {
        feed(Buffer.buffer("\n".repeat(65_536)));
        assertEquals(List.of(), events);
        assertFalse(splitter.hasPartialEvent());
        assertEquals(65_536, splitter.rest().length());
        feed(Buffer.buffer("\r\nid: 1\ndata: a\n\n\n"));
        assertEquals(List.of(1L), ids);
        assertEquals("\n", splitter.rest().toString());
        assertFalse(splitter.hasPartialEvent());
    }

    @Test
    void stopsAfterANumberOfEventsAndGoesOnThere() {
        splitter.add(Buffer.buffer(":\n\n".repeat(5)));
        assertTrue(splitter.pass(2));
        assertEquals(2, events.size());
        assertTrue(splitter.pass(2));
        assertFalse(splitter.pass(2));
        assertEquals(5, events.size());
    }

    @Test
    void aStreamThatEndsInsideAnEventLeavesAPart() {
        feed(Buffer.buffer("id: 1\ndata: a\n\nid: 2\ndata"));
        assertEquals(1, events.size());
        assertTrue(splitter.hasPartialEvent());
    }

    @Test
    void anEventWithoutAnIdPasses() {
        feed(Buffer.buffer("data: x\n\n"));
        assertEquals(List.of(-1L), ids);
    }
}
