package org.endivehold.relay.limit;

import java.util.HashMap;
import java.util.Map;

/**
 * One daemon's share of the retry budget of each service.
 *
 * <p>The bound holds for all daemons together: in any window, repeats of a service may be at most a ratio of its
 * requests, plus a slack. A ratio divides by itself: if each daemon keeps it for its own requests, the sum keeps it.
 * The slack is divided by the number of daemons, counted generously, so that the shares never add up to more than the
 * whole. Example: ratio 0.2 and slack 100 at ten daemons let each repeat 0.2 x its requests + 10 in a window.
 */
public final class RetryShare {
    private final double ratio;
    private final double slack;
    private final double windowMillis;
    private final Map<String, SlidingCount> requests = new HashMap<>();
    private final Map<String, SlidingCount> repeats = new HashMap<>();

    /**
     * Creates the share.
     *
     * @param ratio repeats allowed for each request
     * @param slack further repeats that all daemons together may make in a window
     * @param windowMillis length of the window
     */
    public RetryShare(double ratio, double slack, double windowMillis) {
        this.ratio = ratio;
        this.slack = slack;
        this.windowMillis = windowMillis;
    }

    /** Counts a caller's request for a service. */
    public void request(String service, double now) {
        count(requests, service).add(now);
    }

    /**
     * Takes a repeat from the share.
     *
     * @param service the service
     * @param daemons how many daemons divide the slack, counted generously
     * @param now time in milliseconds
     * @return whether the repeat may be sent; if so it is counted
     */
    public boolean take(String service, int daemons, double now) {
        SlidingCount repeated = count(repeats, service);
        double allowed = ratio * count(requests, service).count(now) + Math.floor(slack / Math.max(1, daemons));
        if (repeated.count(now) + 1 > allowed) {
            return false;
        }
        repeated.add(now);
        return true;
    }

    private SlidingCount count(Map<String, SlidingCount> counts, String service) {
        return counts.computeIfAbsent(service, name -> new SlidingCount(windowMillis));
    }
}
