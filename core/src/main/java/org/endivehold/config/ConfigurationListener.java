package org.endivehold.config;

/** Receives each configuration that is activated. */
@FunctionalInterface
public interface ConfigurationListener {
    /**
     * Called after a configuration was activated.
     *
     * @param snapshot the configuration, with a higher revision than in any earlier call
     */
    void activated(ConfigurationSnapshot snapshot);
}
