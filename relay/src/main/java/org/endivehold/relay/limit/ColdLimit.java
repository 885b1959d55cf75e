package org.endivehold.relay.limit;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.endivehold.misc.RendezvousHash;

/**
 * Limits the requests that one daemon sends to a cold upstream.
 *
 * <p>All daemons together, including those that cannot reach each other, must stay below a bound for each cold
 * upstream. The bound is divided by the number of daemons that may exist: those that this daemon knows of, and some
 * spare ones. If the quotient is below one, only some daemons send to that upstream at all: those with the highest
 * rendezvous hashes for it. Daemons with different views of the fleet may pick different ones, so in this case only
 * half of the bound is handed out.
 */
public final class ColdLimit {
    /** Window over which the bound holds, in milliseconds; a little over a second, as sending takes time. */
    private static final double WINDOW_MILLIS = 1_100;
    /** Part of the bound that is handed out if every daemon has a share. */
    private static final double DIVIDED_SHARE = 0.9;
    /** Part of the bound that is handed out if only chosen daemons send. */
    private static final double CHOSEN_SHARE = 0.5;

    private final String self;
    private final Map<String, SlidingWindowCounter> counters = new HashMap<>();

    /**
     * Creates the limit of one daemon.
     *
     * @param self name of the daemon
     */
    public ColdLimit(String self) {
        this.self = self;
    }

    /**
     * Returns whether a request may be sent to a cold upstream.
     *
     * @param upstream id of the upstream
     * @param bound requests a second that all daemons together may send to it
     * @param daemons names of the daemons that this daemon knows of, including itself
     * @param spare how many further daemons may exist
     * @param now time in milliseconds
     * @return whether this daemon's share allows one more request
     */
    public boolean allows(String upstream, double bound, Collection<String> daemons, int spare, double now) {
        int share = share(upstream, bound, daemons, spare);
        return share > 0 && counter(upstream).count(now) + 1 <= share;
    }

    /** Counts a request that was sent to a cold upstream. */
    public void recordSent(String upstream, double now) {
        counter(upstream).add(now);
    }

    /** Returns the number of requests that this daemon may send within the window. */
    int share(String upstream, double bound, Collection<String> daemons, int spare) {
        int fleetSize = Math.max(1, daemons.size()) + spare;
        int perDaemon = (int) Math.floor(bound * DIVIDED_SHARE / fleetSize);
        if (perDaemon >= 1) {
            return perDaemon;
        }
        int chosenDaemons = (int) Math.floor(bound * CHOSEN_SHARE);
        return RendezvousHash.chosen(self, daemons, upstream, chosenDaemons) ? 1 : 0;
    }

    private SlidingWindowCounter counter(String upstream) {
        return counters.computeIfAbsent(upstream, id -> new SlidingWindowCounter(WINDOW_MILLIS));
    }
}
