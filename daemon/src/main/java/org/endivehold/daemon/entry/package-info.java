/** The daemon of an entry host: wires the serving path to the store, to other daemons, to ports and to signals. */
package org.endivehold.daemon.entry;
