package org.endivehold.relay.route;

/**
 * A service of a route and its share of the traffic.
 *
 * @param service name of the service
 * @param weight its weight relative to the other services of the route
 */
public record ServiceShare(String service, double weight) {}
