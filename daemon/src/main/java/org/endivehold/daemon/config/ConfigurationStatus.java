package org.endivehold.daemon.config;

import java.util.List;

/**
 * What operators see of a daemon's configuration.
 *
 * @param revision the revision in force; 0 before the first
 * @param digest its digest; empty before the first
 * @param source where it came from: {@code store}, the name of a neighbour, or {@code none}
 * @param isolated whether the daemon can learn of no change
 * @param storeSilentMillis time since the store last answered, in milliseconds
 * @param storeBehind whether the store shows a lower revision than the one in force
 * @param zonesOut availability zones that are out
 * @param upstreamsLeaving upstreams that are leaving
 */
public record ConfigurationStatus(
        long revision,
        String digest,
        String source,
        boolean isolated,
        long storeSilentMillis,
        boolean storeBehind,
        List<String> zonesOut,
        List<String> upstreamsLeaving) {}
