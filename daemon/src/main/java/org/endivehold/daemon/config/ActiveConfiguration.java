package org.endivehold.daemon.config;

import java.util.Optional;
import org.endivehold.config.ConfigurationListener;
import org.endivehold.config.ConfigurationSnapshot;

/** Provides the configuration in force at this daemon. */
public interface ActiveConfiguration {
    /** Name of the service. */
    String NAME = "config";

    /**
     * Returns the configuration in force.
     *
     * @return the snapshot; empty until the first configuration is activated
     */
    Optional<ConfigurationSnapshot> current();

    /**
     * Adds a listener. If a configuration is in force, the listener is called for it before this method returns.
     *
     * @param listener called on the event loop for each later activation
     */
    void listen(ConfigurationListener listener);
}
