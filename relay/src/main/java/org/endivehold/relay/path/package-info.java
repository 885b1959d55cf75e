/** Which upstreams this daemon and others reach, and which daemon to send a request by way of. */
package org.endivehold.relay.path;
