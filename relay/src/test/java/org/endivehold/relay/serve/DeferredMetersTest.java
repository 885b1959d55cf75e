package org.endivehold.relay.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class DeferredMetersTest {
    private static final double TOLERANCE = 1e-9;

    private final AtomicInteger created = new AtomicInteger();
    private final DeferredMeters<SimpleMeterRegistry> meters = new DeferredMeters<>(() -> {
        created.incrementAndGet();
        return new SimpleMeterRegistry();
    });

    private void count() {
        meters.record(registry -> registry.counter("requests").increment());
    }

    /** Guards against recordings that are lost or counted twice because they were made before the first scrape. */
    @Test
    void theFirstReadingHasAllThatWasRecordedBefore() {
        count();
        count();
        assertEquals(0, created.get());
        SimpleMeterRegistry registry = meters.registry();
        assertEquals(2, registry.counter("requests").count(), TOLERANCE);
        count();
        assertSame(registry, meters.registry());
        assertEquals(3, registry.counter("requests").count(), TOLERANCE);
    }

    /** Guards against a daemon that is never scraped and keeps everything that it recorded. */
    @Test
    void aThousandWaitingRecordingsCreateTheRegistry() {
        for (int i = 0; i < 1_001; i++) {
            count();
        }
        assertEquals(1, created.get());
        assertEquals(1_001, meters.registry().counter("requests").count(), TOLERANCE);
    }
}
