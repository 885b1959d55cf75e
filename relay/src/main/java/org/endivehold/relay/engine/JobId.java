package org.endivehold.relay.engine;

/**
 * Identifies a request at the engines, unique among all daemons.
 *
 * @param daemon name of the daemon that placed the request, with the number of that daemon's start
 * @param number sequence number among the requests of that daemon
 */
public record JobId(String daemon, long number) {}
