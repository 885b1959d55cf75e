package org.endivehold.relay.route;

import java.util.Optional;

/**
 * A service of the configuration.
 *
 * @param name its name
 * @param healthPath path of its health check
 * @param maxConnections connections that one of its upstreams accepts from all callers together
 * @param coldPerSecond requests a second that a cold upstream bears; 0 if its upstreams are never cold
 * @param engine figures of its engines; empty for a plain service
 */
public record RelayService(
        String name, String healthPath, int maxConnections, double coldPerSecond, Optional<EngineProfile> engine) {}
