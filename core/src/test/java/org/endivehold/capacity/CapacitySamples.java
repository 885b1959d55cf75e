package org.endivehold.capacity;

import java.util.Set;
import java.util.TreeMap;
import org.endivehold.config.AvailabilityZone;
import org.endivehold.config.Configuration;
import org.endivehold.config.ConfigurationSnapshot;
import org.endivehold.config.Upstream;
import org.endivehold.misc.RegionName;
import org.endivehold.misc.Revision;
import org.endivehold.misc.UpstreamName;
import org.endivehold.misc.ZoneName;

/** Builds configurations for the tests of this package. */
final class CapacitySamples {
    static final long MEMORY_TOKENS = 1_000;
    static final ZoneName ZONE = new ZoneName("zone-a");

    private CapacitySamples() {}

    static Upstream upstream(String name, int slots, int coldSlots) {
        return upstream(name, slots, coldSlots, Upstream.State.SERVING);
    }

    static Upstream upstream(String name, int slots, int coldSlots, Upstream.State state) {
        return new Upstream(
                new UpstreamName(name),
                Upstream.Kind.ENGINE,
                ZONE,
                "127.0.0.1",
                1,
                state,
                Set.of(),
                slots,
                coldSlots,
                MEMORY_TOKENS,
                1_000,
                true);
    }

    static ConfigurationSnapshot snapshot(Upstream... upstreams) {
        return snapshot(AvailabilityZone.State.IN, upstreams);
    }

    static ConfigurationSnapshot snapshot(AvailabilityZone.State state, Upstream... upstreams) {
        TreeMap<ZoneName, AvailabilityZone> zones = new TreeMap<>();
        zones.put(ZONE, new AvailabilityZone(ZONE, new RegionName("region"), state));
        TreeMap<UpstreamName, Upstream> byName = new TreeMap<>();
        for (Upstream upstream : upstreams) {
            byName.put(upstream.name(), upstream);
        }
        Configuration configuration = new Configuration(
                new TreeMap<>(), new TreeMap<>(), new TreeMap<>(), new TreeMap<>(), new TreeMap<>(), zones, byName);
        return new ConfigurationSnapshot(new Revision(1), "digest", configuration);
    }
}
