/** The daemon's view of the fleet, replicated from the platform's store directly or through other daemons. */
package org.endivehold.relay.state;
