/** What a connection that others open may hold and do, for all servers of a daemon. */
package org.endivehold.relay.connection;
