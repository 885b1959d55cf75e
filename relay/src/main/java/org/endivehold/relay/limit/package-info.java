/** Limits that many daemons keep together without agreeing on each request, and what is known of upstreams' health. */
package org.endivehold.relay.limit;
