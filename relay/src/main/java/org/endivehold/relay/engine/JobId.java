package org.endivehold.relay.engine;

/**
 * Identifies a request at the engines, unique among all daemons.
 *
 * @param daemon name of the daemon that placed the request, with the number of that daemon's start
 * @param number sequence number among the requests of that daemon
 */
public record JobId(String daemon, long number) {
    // Written out, since the JVM builds the default methods of a record at their first use, at each start of a daemon.

    @Override
    public boolean equals(Object other) {
        return other instanceof JobId id && number == id.number && daemon.equals(id.daemon);
    }

    @Override
    public int hashCode() {
        return 31 * daemon.hashCode() + Long.hashCode(number);
    }
}
