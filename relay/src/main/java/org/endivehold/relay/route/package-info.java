/** The operators' configuration in force and the upstreams that are registered, as plain immutable data. */
package org.endivehold.relay.route;
