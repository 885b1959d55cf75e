/** The daemon of an entry host: the serving path with its store, its peers, its ports and its signals. */
package org.endivehold.daemon.entry;
