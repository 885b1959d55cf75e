/** Connections between daemons. */
package org.endivehold.daemon.peer;
