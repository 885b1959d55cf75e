/**
 * The serving path between callers and upstreams: what is known of the fleet, where requests go, how they get there.
 */
package org.endivehold.relay;
