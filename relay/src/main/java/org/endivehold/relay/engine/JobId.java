package org.endivehold.relay.engine;

/**
 * Names a request at engines, unique among all daemons.
 *
 * @param daemon the daemon that placed it, with the number of that daemon's start
 * @param number counts the requests of that daemon
 */
public record JobId(String daemon, long number) {}
