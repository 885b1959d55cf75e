package org.endivehold.daemon.entry;

import io.micrometer.core.instrument.MeterRegistry;
import org.endivehold.relay.state.StoreCallListener;

/** Counts the calls to the store by kind and result. */
final class StoreCallMetrics implements StoreCallListener {
    private final MeterRegistry registry;

    StoreCallMetrics(MeterRegistry registry) {
        this.registry = registry;
    }

    @Override
    public void callEnded(String kind, String result) {
        registry.counter("endivehold.store.calls", "kind", kind, "result", result)
                .increment();
    }
}
