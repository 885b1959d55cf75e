package org.endivehold.relay.limit;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.endivehold.misc.RendezvousHash;

/**
 * How many requests a second one daemon may send to a cold upstream.
 *
 * <p>All daemons together must stay below a bound for each cold upstream, also those that cannot reach each other. The
 * bound is divided by the number of daemons that may exist, which is at least the number that this daemon knew of, and
 * some more. Where the quotient is below one, only some daemons send to that upstream at all: those whose rendezvous
 * hash with it is among the highest. Two daemons that know different daemons may pick different ones, so only half of
 * the bound is handed out in that case.
 */
public final class ColdLimit {
    /** Span over which the bound holds, in milliseconds; a little longer than a second, as sending takes time. */
    private static final double SPAN_MILLIS = 1_100;
    /** Part of the bound that is handed out if each daemon has a share. */
    private static final double DIVIDED_SHARE = 0.9;
    /** Part of the bound that is handed out if only chosen daemons send. */
    private static final double CHOSEN_SHARE = 0.5;

    private final String self;
    private final Map<String, SlidingCount> sent = new HashMap<>();

    /**
     * Creates the limit of one daemon.
     *
     * @param self its name
     */
    public ColdLimit(String self) {
        this.self = self;
    }

    /**
     * Tells whether a request may be sent to a cold upstream.
     *
     * @param upstream its id
     * @param bound requests a second that all daemons together may send there
     * @param daemons names of the daemons that may exist, this one among them
     * @param spare daemons that may exist beside those
     * @param now time in milliseconds
     * @return whether this daemon's share allows one more
     */
    public boolean allows(String upstream, double bound, Collection<String> daemons, int spare, double now) {
        int share = share(upstream, bound, daemons, spare);
        return share > 0 && count(upstream).count(now) + 1 <= share;
    }

    /** Counts a request that is sent to a cold upstream. */
    public void sent(String upstream, double now) {
        count(upstream).add(now);
    }

    /** Returns the requests that this daemon may send in a second. */
    int share(String upstream, double bound, Collection<String> daemons, int spare) {
        int fleet = Math.max(1, daemons.size()) + spare;
        int each = (int) Math.floor(bound * DIVIDED_SHARE / fleet);
        if (each >= 1) {
            return each;
        }
        int chosen = (int) Math.floor(bound * CHOSEN_SHARE);
        return RendezvousHash.chosen(self, daemons, upstream, chosen) ? 1 : 0;
    }

    private SlidingCount count(String upstream) {
        return sent.computeIfAbsent(upstream, id -> new SlidingCount(SPAN_MILLIS));
    }
}
