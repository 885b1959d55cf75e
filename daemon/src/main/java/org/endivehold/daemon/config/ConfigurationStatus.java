package org.endivehold.daemon.config;

import java.util.List;

/**
 * The state of a daemon's configuration as shown to operators. The component names appear in the status document.
 *
 * @param revision the revision in force; 0 before the first activation
 * @param digest the digest of the configuration in force; empty before the first activation
 * @param source where it was loaded from: {@code store}, the name of another daemon's host, or {@code none}
 * @param isolated whether the daemon cannot learn of configuration changes
 * @param storeSilentMillis time since the key-value service last answered, in milliseconds
 * @param storeBehind whether the key-value service has a lower revision than the one in force
 * @param zonesOut names of the availability zones with the state {@code out}
 * @param upstreamsLeaving names of the upstreams with the state {@code leaving}
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
