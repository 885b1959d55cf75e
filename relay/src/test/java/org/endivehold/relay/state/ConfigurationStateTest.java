package org.endivehold.relay.state;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.buffer.Buffer;
import java.util.concurrent.atomic.AtomicInteger;
import org.endivehold.relay.route.RoutingTable;
import org.endivehold.relay.route.UpstreamEntry;
import org.junit.jupiter.api.Test;

class ConfigurationStateTest {
    private final AtomicInteger decoded = new AtomicInteger();
    private final ConfigurationState state = new ConfigurationState(new CountingDecoder());

    /** Decodes a document that consists of the version and, after a slash, anything. */
    private final class CountingDecoder implements StoreDecoder {
        @Override
        public String operatorPrefix() {
            return "operators/";
        }

        @Override
        public String upstreamPrefix() {
            return "upstreams/";
        }

        @Override
        public String daemonPrefix() {
            return "daemons/";
        }

        @Override
        public String barredTraitPrefix() {
            return "barred/";
        }

        @Override
        public String configurationKey() {
            return "operators/configuration";
        }

        @Override
        public String evacuatedZonePrefix() {
            return "operators/zones/";
        }

        @Override
        public RoutingTable configuration(Buffer value) {
            decoded.incrementAndGet();
            String text = value.toString();
            return RoutingTable.builder(Long.parseLong(text.substring(0, text.indexOf('/'))))
                    .build();
        }

        @Override
        public UpstreamEntry upstream(String id, Buffer value) {
            throw new UnsupportedOperationException();
        }
    }

    /** Guards against decoding a large document again for each daemon that sends it. */
    @Test
    void aDocumentInForceIsDecodedOnce() {
        state.offer(Buffer.buffer("7/a"), "first");
        state.offer(Buffer.buffer("7/a"), "second");
        assertEquals(1, decoded.get());
        assertEquals(7, state.version().orElseThrow());
    }

    /** Guards against keeping the earlier document when the operators publish a changed one under the same version. */
    @Test
    void anotherDocumentOfTheSameVersionIsPutInForce() {
        state.offer(Buffer.buffer("7/a"), "first");
        state.offer(Buffer.buffer("7/b"), "second");
        assertEquals(2, decoded.get());
        assertEquals("7/b", state.document().orElseThrow().toString());
    }

    /** Guards against taking an older version again because its bytes differ from those in force. */
    @Test
    void anOlderVersionIsNotPutInForce() {
        state.offer(Buffer.buffer("7/a"), "first");
        state.offer(Buffer.buffer("6/a"), "second");
        assertEquals(7, state.version().orElseThrow());
    }
}
