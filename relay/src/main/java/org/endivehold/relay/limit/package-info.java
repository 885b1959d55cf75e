/** Limits that all daemons keep together without coordinating each request, and the health of upstreams. */
package org.endivehold.relay.limit;
