/** What a daemon knows of the fleet, and how it learns it from the platform's store and from other daemons. */
package org.endivehold.relay.state;
