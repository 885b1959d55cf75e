package org.endivehold.daemon.config;

import io.vertx.core.Future;
import java.util.Optional;
import org.endivehold.config.ConfigurationSnapshot;
import org.endivehold.misc.HostId;

/** Fetches configurations from other daemons. */
@FunctionalInterface
public interface ConfigurationSource {
    /**
     * Fetches what a neighbour has in force.
     *
     * @param neighbour the neighbour
     * @param current what this daemon has, so that only the difference need travel
     * @return the neighbour's configuration with the digest computed here
     */
    Future<ConfigurationSnapshot> fetch(HostId neighbour, Optional<ConfigurationSnapshot> current);
}
