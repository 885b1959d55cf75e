package org.endivehold.capacity;

import java.util.SortedMap;
import java.util.TreeMap;
import org.endivehold.config.AvailabilityZone;
import org.endivehold.config.Configuration;
import org.endivehold.config.Upstream;
import org.endivehold.misc.UpstreamName;

/** Selects the upstreams of a configuration that take new work. */
public final class ServingUpstreams {
    private ServingUpstreams() {}

    /**
     * Selects the upstreams in state {@code SERVING} whose availability zone is in state {@code IN}.
     *
     * @param configuration the configuration
     * @return the selected upstreams by name
     */
    public static SortedMap<UpstreamName, Upstream> of(Configuration configuration) {
        SortedMap<UpstreamName, Upstream> serving = new TreeMap<>();
        for (Upstream upstream : configuration.upstreams().values()) {
            if (takesNewWork(configuration, upstream)) {
                serving.put(upstream.name(), upstream);
            }
        }
        return serving;
    }

    private static boolean takesNewWork(Configuration configuration, Upstream upstream) {
        AvailabilityZone zone = configuration.zones().get(upstream.zone());
        return upstream.state() == Upstream.State.SERVING && zone != null && zone.state() == AvailabilityZone.State.IN;
    }
}
