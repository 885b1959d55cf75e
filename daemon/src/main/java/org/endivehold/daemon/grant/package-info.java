/** Sharing of upstream capacity with the other daemons: the service around the state machines of the core. */
package org.endivehold.daemon.grant;
