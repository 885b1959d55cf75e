/**
 * The serving path between callers and upstreams: the state of the fleet, routing, scheduling, limits and forwarding.
 */
package org.endivehold.relay;
