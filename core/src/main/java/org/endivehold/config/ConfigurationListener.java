package org.endivehold.config;

/** Is told whenever another configuration comes into force. */
@FunctionalInterface
public interface ConfigurationListener {
    /**
     * A configuration came into force.
     *
     * @param snapshot the configuration, of a higher revision than any before
     */
    void activated(ConfigurationSnapshot snapshot);
}
