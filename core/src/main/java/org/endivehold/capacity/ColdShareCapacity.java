package org.endivehold.capacity;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.endivehold.config.Upstream;
import org.endivehold.misc.HostId;
import org.endivehold.misc.Rendezvous;
import org.endivehold.misc.UpstreamName;

/**
 * Uses warm upstreams freely and divides cold ones among the daemons.
 *
 * <p>A warm upstream that is full refuses a request without having run it, and knows its own load better than any
 * daemon does, so nothing is held back here. An upstream that may have started again bears few slots and fails under
 * more. Each daemon then uses its equal part of the cold slots; where there are fewer slots than daemons, those daemons
 * use one slot each that rendezvous hashing chooses for the upstream. Nobody has to agree with anybody: daemons that
 * know the same others keep the bound together.
 *
 * <p>Example: 8 daemons and an upstream of 20 slots, 4 of them cold. While it is warm each daemon may use all 20. After
 * one of its streams broke, 4 of the 8 daemons use one slot each for {@value #COLD_MILLIS} milliseconds.
 */
public final class ColdShareCapacity extends ConfiguredCapacity {
    /** Name in settings. */
    public static final String NAME = "cold-share";
    /** How long an upstream counts as cold after it failed, in milliseconds; engines warm up within this time. */
    static final long COLD_MILLIS = 5_000;

    private final HostId self;
    private final Supplier<Collection<String>> daemons;
    private final Map<UpstreamName, Long> coldUntil = new HashMap<>();

    /**
     * Creates a capacity without upstreams, until a configuration is activated.
     *
     * @param self host of this daemon
     * @param daemons gives the hosts of the live daemons
     */
    public ColdShareCapacity(HostId self, Supplier<Collection<String>> daemons) {
        this.self = self;
        this.daemons = daemons;
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void suspect(UpstreamName upstream, long now) {
        coldUntil.put(upstream, now + COLD_MILLIS);
    }

    @Override
    protected Amount limit(Upstream upstream, long now) {
        int slots = now < coldUntil.getOrDefault(upstream.name(), Long.MIN_VALUE) ? coldShare(upstream) : WARM_SLOTS;
        return new Amount(slots, Long.MAX_VALUE);
    }

    private int coldShare(Upstream upstream) {
        Collection<String> names = daemons.get();
        int each = upstream.coldSlots() / Math.max(1, names.size());
        if (each >= 1) {
            return each;
        }
        boolean chosen = Rendezvous.chosen(self.value(), names, upstream.name().value(), upstream.coldSlots());
        return chosen ? 1 : 0;
    }
}
