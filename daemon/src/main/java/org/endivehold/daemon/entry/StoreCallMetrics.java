package org.endivehold.daemon.entry;

import org.endivehold.relay.serve.DeferredMeters;
import org.endivehold.relay.state.StoreCallListener;

/** Counts the calls to the store by kind and result. */
final class StoreCallMetrics implements StoreCallListener {
    private final DeferredMeters<?> meters;

    StoreCallMetrics(DeferredMeters<?> meters) {
        this.meters = meters;
    }

    @Override
    public void callEnded(String kind, String result) {
        meters.record(registry -> registry.counter("endivehold.store.calls", "kind", kind, "result", result)
                .increment());
    }
}
