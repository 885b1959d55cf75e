package org.endivehold.relay.share;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntPredicate;
import org.endivehold.relay.route.TrafficClass;

/**
 * The shares of one service: which rank is next, and how much each customer of a rank has taken.
 *
 * <p>Each rank has counters of its own. With common ones, a customer of a low rank that has long waited would hold the
 * smallest counter down, and a new customer of a high rank would start there, far behind those that it competes with.
 */
public final class RankedShares {
    /** Number of ranks: pairs of a rank of the customer and one of the route. */
    public static final int RANKS = (TrafficClass.MAX_RANK + 1) * (TrafficClass.MAX_RANK + 1);

    private final Map<Integer, FairShares> customers = new HashMap<>();
    private final int[] waiting = new int[RANKS];
    private final RankFloor floor = new RankFloor(RANKS);

    /**
     * Returns the rank of a class; a larger number is more urgent, in accordance with
     * {@link TrafficClass#MOST_URGENT_FIRST}.
     */
    public static int rank(TrafficClass traffic) {
        return traffic.customerRank() * (TrafficClass.MAX_RANK + 1) + traffic.routeRank();
    }

    /** Notes that a request of a class begins to wait. */
    public void arrived(TrafficClass traffic, double now) {
        waiting[rank(traffic)]++;
        shares(traffic).arrived(traffic.customer(), now);
    }

    /** Notes that a request of a class does not wait any more, whatever the reason. */
    public void left(TrafficClass traffic) {
        waiting[rank(traffic)]--;
        shares(traffic).left(traffic.customer());
    }

    /** Counts a request that was sent to engines, whether or not it had waited. */
    public void charge(TrafficClass traffic, EngineCost cost, double now) {
        shares(traffic).charge(traffic.customer(), cost, now);
    }

    /** Returns the counter at which the next request of a class starts. */
    public double counter(TrafficClass traffic) {
        return shares(traffic).counter(traffic.customer());
    }

    /**
     * Returns the rank that goes next.
     *
     * @param available whether a request of a rank may be tried
     * @return the rank; -1 if none is available
     */
    public int nextRank(IntPredicate available) {
        return floor.next(available);
    }

    /** Notes that a request was placed that had waited and waits no more. */
    public void placedAfterWaiting(TrafficClass traffic) {
        floor.placed(rank(traffic), rank -> waiting[rank] > 0);
    }

    private FairShares shares(TrafficClass traffic) {
        return customers.computeIfAbsent(rank(traffic), rank -> new FairShares());
    }
}
