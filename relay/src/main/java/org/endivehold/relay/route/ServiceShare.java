package org.endivehold.relay.route;

/**
 * One service of a route and its part of the traffic.
 *
 * @param service name of the service
 * @param weight its weight among the services of the route
 */
public record ServiceShare(String service, double weight) {}
