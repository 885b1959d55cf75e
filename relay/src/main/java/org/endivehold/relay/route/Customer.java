package org.endivehold.relay.route;

import java.util.OptionalInt;

/**
 * A customer as configured by operators.
 *
 * @param name its name, which is sent to upstreams
 * @param priority priority of its requests, 0 is the highest; if empty, the priority of the route applies
 */
public record Customer(String name, OptionalInt priority) {}
