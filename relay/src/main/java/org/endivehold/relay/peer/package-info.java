/** Connections between daemons: what each sent to engines, which upstreams fail, and copies of the store's items. */
package org.endivehold.relay.peer;
