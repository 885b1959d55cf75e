/**
 * The protocol between daemons: it carries running jobs and placement requests, failures of upstreams, and copies of
 * the store's items.
 */
package org.endivehold.relay.peer;
