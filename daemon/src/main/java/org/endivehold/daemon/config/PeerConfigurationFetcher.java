package org.endivehold.daemon.config;

import io.vertx.core.Future;
import java.util.Optional;
import org.endivehold.config.ConfigurationSnapshot;
import org.endivehold.misc.HostId;

/** Fetches configurations from other daemons. */
@FunctionalInterface
public interface PeerConfigurationFetcher {
    /**
     * Fetches the configuration in force at another daemon.
     *
     * @param peer the host of the other daemon
     * @param current the configuration in force here, so that only the difference has to be sent
     * @return the peer's configuration, with a digest that was computed here
     */
    Future<ConfigurationSnapshot> fetch(HostId peer, Optional<ConfigurationSnapshot> current);
}
