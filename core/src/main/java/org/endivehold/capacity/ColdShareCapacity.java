package org.endivehold.capacity;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.endivehold.config.Upstream;
import org.endivehold.misc.HostId;
import org.endivehold.misc.RendezvousHash;
import org.endivehold.misc.UpstreamName;

/**
 * Does not limit the use of warm upstreams, and divides the slots of cold upstreams among the daemons.
 *
 * <p>A warm upstream that is full refuses a request without having run it, and it knows its own load better than any
 * daemon does, so no limit is applied here. An upstream that may have restarted is cold: it can serve only a few
 * requests at once, its cold slots, and fails under more. Each daemon then uses an equal share of the cold slots. If
 * there are fewer cold slots than daemons, rendezvous hashing over the upstream's name chooses the daemons that use one
 * slot each. The daemons do not communicate: those that know the same set of daemons stay within the cold slots
 * together.
 *
 * <p>Example: 8 daemons and an upstream with 20 slots and 4 cold slots. While it is warm, no daemon limits its own
 * requests. After one of its streams broke, 4 of the 8 daemons use one slot each for {@value #COLD_MILLIS}
 * milliseconds.
 */
public final class ColdShareCapacity extends ConfiguredCapacity {
    /** Name in settings. */
    public static final String NAME = "cold-share";
    /** Time for which an upstream counts as cold after a failure, in milliseconds; engines warm up within this time. */
    static final long COLD_MILLIS = 5_000;

    private final HostId self;
    private final Supplier<Collection<String>> registeredHosts;
    private final Map<UpstreamName, Long> coldUntil = new HashMap<>();

    /**
     * Creates a capacity without upstreams, until a configuration is activated.
     *
     * @param self host of this daemon
     * @param registeredHosts supplies the host names of the registered daemons
     */
    public ColdShareCapacity(HostId self, Supplier<Collection<String>> registeredHosts) {
        this.self = self;
        this.registeredHosts = registeredHosts;
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
        int slots =
                now < coldUntil.getOrDefault(upstream.name(), Long.MIN_VALUE) ? coldShare(upstream) : UNLIMITED_SLOTS;
        return new Amount(slots, Long.MAX_VALUE);
    }

    private int coldShare(Upstream upstream) {
        Collection<String> hosts = registeredHosts.get();
        int slotsPerDaemon = upstream.coldSlots() / Math.max(1, hosts.size());
        if (slotsPerDaemon >= 1) {
            return slotsPerDaemon;
        }
        boolean chosen =
                RendezvousHash.chosen(self.value(), hosts, upstream.name().value(), upstream.coldSlots());
        return chosen ? 1 : 0;
    }
}
