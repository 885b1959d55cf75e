package org.endivehold.capacity;

import java.util.SortedMap;
import java.util.TreeMap;
import org.endivehold.config.AvailabilityZone;
import org.endivehold.config.Configuration;
import org.endivehold.config.Upstream;
import org.endivehold.misc.UpstreamName;

/** Tells which upstreams of a configuration may get new work. */
public final class ServingUpstreams {
    private ServingUpstreams() {}

    /**
     * Selects the upstreams that are serving and stand in a zone that is in.
     *
     * @param configuration the configuration
     * @return those upstreams, by name
     */
    public static SortedMap<UpstreamName, Upstream> of(Configuration configuration) {
        SortedMap<UpstreamName, Upstream> serving = new TreeMap<>();
        for (Upstream upstream : configuration.upstreams().values()) {
            if (serves(configuration, upstream)) {
                serving.put(upstream.name(), upstream);
            }
        }
        return serving;
    }

    private static boolean serves(Configuration configuration, Upstream upstream) {
        AvailabilityZone zone = configuration.zones().get(upstream.zone());
        return upstream.state() == Upstream.State.SERVING && zone != null && zone.state() == AvailabilityZone.State.IN;
    }
}
