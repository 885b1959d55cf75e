/** The operators' configuration in force and the registered upstreams, as immutable data. */
package org.endivehold.relay.route;
