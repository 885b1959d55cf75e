package org.endivehold.relay.route;

import java.util.OptionalInt;

/**
 * A customer of the configuration.
 *
 * @param name its name, which upstreams are told
 * @param priority rank that goes before that of a route; empty if it states none
 */
public record Customer(String name, OptionalInt priority) {}
