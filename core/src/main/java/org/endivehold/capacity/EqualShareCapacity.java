package org.endivehold.capacity;

import java.util.function.IntSupplier;
import org.endivehold.config.Upstream;

/**
 * Baseline for comparison that divides each upstream's configured capacity by the number of registered daemons. A
 * daemon always gets at least one slot, so many daemons can overload a small or cold upstream, and the share of an idle
 * daemon stays unused.
 */
public final class EqualShareCapacity extends ConfiguredCapacity {
    /** Name in settings. */
    public static final String NAME = "equal-share";

    private final IntSupplier daemonCount;

    /**
     * Creates a capacity without upstreams, until a configuration is activated.
     *
     * @param daemonCount supplies the number of registered daemons
     */
    public EqualShareCapacity(IntSupplier daemonCount) {
        this.daemonCount = daemonCount;
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    protected Amount limit(Upstream upstream, long now) {
        int count = Math.max(1, daemonCount.getAsInt());
        return new Amount(Math.max(1, upstream.slots() / count), upstream.memoryTokens() / count);
    }
}
