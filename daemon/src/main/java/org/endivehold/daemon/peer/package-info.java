/** Messages between daemons over TCP: connections, dialing with backoff, and requests with typed failures. */
package org.endivehold.daemon.peer;
