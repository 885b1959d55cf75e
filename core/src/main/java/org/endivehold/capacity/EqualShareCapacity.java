package org.endivehold.capacity;

import java.util.function.IntSupplier;
import org.endivehold.config.Upstream;

/**
 * Baseline that divides each upstream's configured capacity by the number of live daemons. A daemon always has at least
 * one slot, so many daemons can overload a small or cold upstream; and the share of an idle daemon is not used.
 */
public final class EqualShareCapacity extends ConfiguredCapacity {
    /** Name in settings. */
    public static final String NAME = "equal-share";

    private final IntSupplier daemons;

    /**
     * Creates a capacity without upstreams, until a configuration is activated.
     *
     * @param daemons gives the number of live daemons
     */
    public EqualShareCapacity(IntSupplier daemons) {
        this.daemons = daemons;
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    protected Amount limit(Upstream upstream, long now) {
        int count = Math.max(1, daemons.getAsInt());
        return new Amount(Math.max(1, upstream.slots() / count), upstream.memoryTokens() / count);
    }
}
