package org.endivehold.daemon.request;

import org.endivehold.daemon.DaemonContext;
import org.endivehold.misc.StreamId;

/** Generates stream identifiers from host, incarnation and a counter, so that they are unique among all daemons. */
final class StreamIdGenerator {
    private static final int RADIX = 36;

    private final String prefix;
    private long last;

    /**
     * Creates the generator of one daemon process.
     *
     * @param context the daemon's context
     */
    StreamIdGenerator(DaemonContext context) {
        String incarnation = Long.toString(context.incarnation().value(), RADIX);
        prefix = context.settings().host() + "-" + incarnation + "-";
    }

    /**
     * Generates an identifier.
     *
     * @return an identifier that no other stream has
     */
    StreamId next() {
        return new StreamId(prefix + Long.toString(++last, RADIX));
    }
}
