package org.endivehold.daemon.config;

import java.util.Optional;
import org.endivehold.config.ConfigurationListener;
import org.endivehold.config.ConfigurationSnapshot;

/** The configuration in force at this daemon. */
public interface ActiveConfiguration {
    /** Name of the service. */
    String NAME = "config";

    /**
     * Returns the configuration in force.
     *
     * @return the snapshot, or empty before the first
     */
    Optional<ConfigurationSnapshot> current();

    /**
     * Adds a listener, and tells it of the configuration in force if there is one.
     *
     * @param listener told of each later activation, on the event loop
     */
    void listen(ConfigurationListener listener);
}
