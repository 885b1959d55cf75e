package org.endivehold.relay.limit;

import java.util.HashMap;
import java.util.Map;

/**
 * One daemon's share of the retry budget of each service.
 *
 * <p>The budget holds for all daemons together: in any window the retries of a service are limited to a ratio of its
 * requests, plus a slack. The ratio needs no division: if each daemon keeps it for its own requests, all together keep
 * it. The slack is divided by an upper estimate of the number of daemons, so that the shares never add up to more than
 * the whole. Example: with ratio 0.2 and slack 100, each of ten daemons may send 0.2 x its requests + 10 retries in a
 * window.
 */
public final class RetryShare {
    private final double ratio;
    private final double slack;
    private final double windowMillis;
    private final Map<String, SlidingWindowCounter> requests = new HashMap<>();
    private final Map<String, SlidingWindowCounter> retries = new HashMap<>();

    /**
     * Creates the share.
     *
     * @param ratio retries allowed for each request
     * @param slack further retries that all daemons together may send in a window
     * @param windowMillis length of the window
     */
    public RetryShare(double ratio, double slack, double windowMillis) {
        this.ratio = ratio;
        this.slack = slack;
        this.windowMillis = windowMillis;
    }

    /** Counts a caller's request to a service; retries of it are not counted here. */
    public void recordRequest(String service, double now) {
        counter(requests, service).add(now);
    }

    /**
     * Takes a retry from the share.
     *
     * @param service the service
     * @param daemons upper estimate of the number of daemons, by which the slack is divided
     * @param now time in milliseconds
     * @return whether the retry may be sent; if so it is counted
     */
    public boolean tryTake(String service, int daemons, double now) {
        SlidingWindowCounter retried = counter(retries, service);
        double allowed = ratio * counter(requests, service).count(now) + Math.floor(slack / Math.max(1, daemons));
        if (retried.count(now) + 1 > allowed) {
            return false;
        }
        retried.add(now);
        return true;
    }

    private SlidingWindowCounter counter(Map<String, SlidingWindowCounter> counters, String service) {
        return counters.computeIfAbsent(service, name -> new SlidingWindowCounter(windowMillis));
    }
}
