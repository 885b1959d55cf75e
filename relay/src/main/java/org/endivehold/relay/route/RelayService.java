package org.endivehold.relay.route;

import java.util.Optional;

/**
 * A service as configured by operators.
 *
 * @param name its name
 * @param healthPath path of the health check of its upstreams
 * @param maxConnections connections that one of its upstreams accepts from all callers together
 * @param coldPerSecond requests per second that a cold upstream can serve; 0 if its upstreams are never cold
 * @param engine performance profile of its engines; empty for a plain service
 */
public record RelayService(
        String name, String healthPath, int maxConnections, double coldPerSecond, Optional<EngineProfile> engine) {}
