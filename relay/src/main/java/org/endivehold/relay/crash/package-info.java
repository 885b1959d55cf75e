/** Requests that crash upstreams: evidence from lost attempts, and what is barred for it. */
package org.endivehold.relay.crash;
