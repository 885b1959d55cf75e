package org.endivehold.daemon.request;

import org.endivehold.daemon.DaemonContext;
import org.endivehold.misc.StreamId;

/** Names streams after the host, its process and a counter, so that no two streams of any daemons share a name. */
final class StreamNames {
    private static final int RADIX = 36;

    private final String prefix;
    private long last;

    /**
     * Creates the names of one daemon process.
     *
     * @param context the daemon's context
     */
    StreamNames(DaemonContext context) {
        String process = Long.toString(context.incarnation().value(), RADIX);
        prefix = context.settings().host() + "-" + process + "-";
    }

    /**
     * Names a stream.
     *
     * @return a name that no other stream has
     */
    StreamId next() {
        return new StreamId(prefix + Long.toString(++last, RADIX));
    }
}
