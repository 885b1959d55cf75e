package org.endivehold.capacity;

import org.endivehold.config.Upstream;

/** Baseline for comparison without limits: every daemon may send any number of requests to every upstream. */
public final class UnlimitedCapacity extends ConfiguredCapacity {
    /** Name in settings. */
    public static final String NAME = "unlimited";

    /** Creates a capacity without upstreams, until a configuration is activated. */
    public UnlimitedCapacity() {}

    @Override
    public String name() {
        return NAME;
    }

    @Override
    protected Amount limit(Upstream upstream, long now) {
        return new Amount(UNLIMITED_SLOTS, Long.MAX_VALUE);
    }
}
