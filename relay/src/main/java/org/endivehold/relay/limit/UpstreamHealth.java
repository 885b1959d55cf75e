package org.endivehold.relay.limit;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Failures and slowdown of each upstream, from this daemon's own requests and the reports of other daemons.
 *
 * <p>An upstream that cannot be reached, breaks off or stays silent is ejected for a time that doubles with each
 * consecutive failure. An ejected upstream is chosen only if there is no other. The next answer that is not the
 * upstream's failure ends the ejection and resets the count. If only some requests fail, a decaying failure rate lowers
 * the upstream's rank without ejecting it.
 */
public final class UpstreamHealth {
    /** Time for which an upstream is ejected after its first failure, in milliseconds. */
    private static final double FIRST_EJECTION_MILLIS = 600;
    /** Longest time for which an upstream is ejected, in milliseconds. */
    private static final double LONGEST_EJECTION_MILLIS = 6_000;
    /** Weight of the newest request in the moving averages. */
    private static final double NEWEST_WEIGHT = 0.3;
    /** Half-life of the moving averages' decay towards the values of a healthy upstream, in milliseconds. */
    private static final double HALF_LIFE_MILLIS = 3_000;
    /** Largest slowdown that is taken into account; a larger one counts as this. */
    private static final double MAX_SLOWDOWN = 20;

    private final Map<String, State> states = new HashMap<>();

    private static final class State {
        private int consecutiveFailures;
        private double ejectedUntil;
        private double reportedUntil;
        private double failureRate;
        private double slowdown = 1;
        private double decayedAt;
        private double lastActivityAt = Double.NEGATIVE_INFINITY;

        private void decay(double now) {
            double remaining = Math.pow(0.5, Math.max(0, now - decayedAt) / HALF_LIFE_MILLIS);
            failureRate *= remaining;
            slowdown = 1 + (slowdown - 1) * remaining;
            decayedAt = now;
        }
    }

    /** Records an answer that is not the upstream's failure, whatever its status. Ends an ejection. */
    public void recordAnswer(String upstream, double now) {
        State state = state(upstream, now);
        state.consecutiveFailures = 0;
        state.ejectedUntil = 0;
        state.reportedUntil = 0;
        state.failureRate *= 1 - NEWEST_WEIGHT;
    }

    /** Records that the upstream sent something for any request of this daemon; that refutes reports of others. */
    public void recordActivity(String upstream, double now) {
        State state = states.computeIfAbsent(upstream, id -> new State());
        state.lastActivityAt = now;
        state.reportedUntil = 0;
    }

    /**
     * Returns the time since the upstream last sent anything for any request of this daemon, in milliseconds; infinite
     * if it never did.
     */
    public double silentMillis(String upstream, double now) {
        State state = states.get(upstream);
        return state == null ? Double.POSITIVE_INFINITY : now - state.lastActivityAt;
    }

    /** Records that the upstream could not be reached, broke off or stayed silent, and ejects it. */
    public void recordFailure(String upstream, double now) {
        State state = state(upstream, now);
        double ejection = FIRST_EJECTION_MILLIS * Math.pow(2, Math.min(state.consecutiveFailures, 8));
        state.consecutiveFailures++;
        state.ejectedUntil = Math.max(state.ejectedUntil, now + Math.min(ejection, LONGEST_EJECTION_MILLIS));
        state.failureRate += NEWEST_WEIGHT * (1 - state.failureRate);
    }

    /** Records an answer that reports a failure of the upstream itself; does not eject it. */
    public void recordFailureAnswer(String upstream, double now) {
        State state = state(upstream, now);
        state.failureRate += NEWEST_WEIGHT * (1 - state.failureRate);
    }

    /**
     * Records how many times longer than predicted something took.
     *
     * @param upstream id of the upstream
     * @param factor measured time divided by predicted time; below 1 counts as 1
     * @param now time in milliseconds
     */
    public void slowdown(String upstream, double factor, double now) {
        State state = state(upstream, now);
        state.slowdown += NEWEST_WEIGHT * (Math.min(MAX_SLOWDOWN, Math.max(1, factor)) - state.slowdown);
    }

    /** Returns whether the upstream is ejected now. */
    public boolean ejected(String upstream, double now) {
        State state = states.get(upstream);
        return state != null && now < Math.max(state.ejectedUntil, state.reportedUntil);
    }

    /** Ejects an upstream until a time in milliseconds, or until the end of its current ejection if that is later. */
    public void eject(String upstream, double untilMillis, double now) {
        State state = state(upstream, now);
        state.ejectedUntil = Math.max(state.ejectedUntil, untilMillis);
    }

    /**
     * Ejects an upstream that another daemon reports as failed, until a time in milliseconds or until this daemon hears
     * of the upstream: only the path from the other daemon may be at fault.
     */
    public void ejectReported(String upstream, double untilMillis, double now) {
        State state = state(upstream, now);
        state.reportedUntil = Math.max(state.reportedUntil, untilMillis);
    }

    /** Returns the moving average of the share of requests that failed, from 0 to 1. */
    public double failureRate(String upstream, double now) {
        return states.containsKey(upstream) ? state(upstream, now).failureRate : 0;
    }

    /** Returns how many times slower than predicted the upstream is, as a moving average; 1 if it is not slower. */
    public double slowdown(String upstream, double now) {
        return states.containsKey(upstream) ? state(upstream, now).slowdown : 1;
    }

    /** Removes the state of the upstreams that are not among the given ids. */
    public void retain(Collection<String> upstreams) {
        states.keySet().retainAll(upstreams);
    }

    private State state(String upstream, double now) {
        State state = states.computeIfAbsent(upstream, id -> new State());
        state.decay(now);
        return state;
    }
}
