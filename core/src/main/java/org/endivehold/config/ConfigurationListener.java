package org.endivehold.config;

/** Notified whenever a new configuration comes into force. */
@FunctionalInterface
public interface ConfigurationListener {
    /**
     * Called after a configuration came into force.
     *
     * @param snapshot the configuration, with a higher revision than in any earlier call
     */
    void activated(ConfigurationSnapshot snapshot);
}
