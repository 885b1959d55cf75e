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
                splitter.feed(Buffer.buffer(stream.substring(at, Math.min(stream.length(), at + cut))));
            }
            assertEquals(stream, String.join("", events));
            assertEquals(List.of(1L, 2L, 3L), ids);
            assertFalse(splitter.hasPartialEvent());
        }
    }

    @Test
    void aStreamThatEndsInsideAnEventLeavesAPart() {
        splitter.feed(Buffer.buffer("id: 1\ndata: a\n\nid: 2\ndata"));
        assertEquals(1, events.size());
        assertTrue(splitter.hasPartialEvent());
    }

    @Test
    void anEventWithoutAnIdPasses() {
        splitter.feed(Buffer.buffer("data: x\n\n"));
        assertEquals(List.of(-1L), ids);
    }
}
