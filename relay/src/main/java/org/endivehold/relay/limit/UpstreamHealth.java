package org.endivehold.relay.limit;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * What this daemon's own requests show of each upstream: failures and pace.
 *
 * <p>An upstream that fails is left out for a time that doubles with each further failure. When the time is over it
 * gets requests again; the first success clears the count. Failures of a part of the requests show in an average that
 * makes the upstream less attractive before it is left out.
 */
public final class UpstreamHealth {
    /** Time that an upstream is left out after its first failure, in milliseconds. */
    private static final double FIRST_EJECTION_MILLIS = 600;
    /** Longest time that an upstream is left out, in milliseconds. */
    private static final double LONGEST_EJECTION_MILLIS = 6_000;
    /** Weight of the newest request in the averages. */
    private static final double NEWEST = 0.3;
    /** Time in which the averages lose half of what they say, in milliseconds. */
    private static final double HALF_LIFE_MILLIS = 3_000;
    /** Slowest pace that is believed. */
    private static final double SLOWEST = 20;

    private final Map<String, State> states = new HashMap<>();

    private static final class State {
        private int inRow;
        private double outUntil;
        private double failing;
        private double pace = 1;
        private double at;
        private double heardAt = Double.NEGATIVE_INFINITY;

        private void age(double now) {
            double keep = Math.pow(0.5, Math.max(0, now - at) / HALF_LIFE_MILLIS);
            failing *= keep;
            pace = 1 + (pace - 1) * keep;
            at = now;
        }
    }

    /** Notes that a request was answered by the upstream, with any status that it meant. */
    public void answered(String upstream, double now) {
        State state = state(upstream, now);
        state.inRow = 0;
        state.outUntil = 0;
        state.failing *= 1 - NEWEST;
    }

    /** Notes that something came from the upstream, for whatever request. */
    public void heard(String upstream, double now) {
        State state = states.computeIfAbsent(upstream, id -> new State());
        state.heardAt = now;
    }

    /** Returns how long nothing has come from the upstream, for any request of this daemon, in milliseconds. */
    public double silentMillis(String upstream, double now) {
        State state = states.get(upstream);
        return state == null ? Double.POSITIVE_INFINITY : now - state.heardAt;
    }

    /** Notes a failure that says something about the upstream: it is not reached, breaks off or stays silent. */
    public void failed(String upstream, double now) {
        State state = state(upstream, now);
        double out = FIRST_EJECTION_MILLIS * Math.pow(2, Math.min(state.inRow, 8));
        state.inRow++;
        state.outUntil = Math.max(state.outUntil, now + Math.min(out, LONGEST_EJECTION_MILLIS));
        state.failing += NEWEST * (1 - state.failing);
    }

    /** Notes an answer that is a failure of the upstream itself. */
    public void answeredWithFailure(String upstream, double now) {
        State state = state(upstream, now);
        state.failing += NEWEST * (1 - state.failing);
    }

    /** Notes how many times longer than predicted something took. */
    public void pace(String upstream, double factor, double now) {
        State state = state(upstream, now);
        state.pace += NEWEST * (Math.min(SLOWEST, Math.max(1, factor)) - state.pace);
    }

    /** Tells whether the upstream is left out now. */
    public boolean ejected(String upstream, double now) {
        State state = states.get(upstream);
        return state != null && now < state.outUntil;
    }

    /** Leaves an upstream out that another daemon found to fail. */
    public void eject(String upstream, double untilMillis, double now) {
        State state = state(upstream, now);
        state.outUntil = Math.max(state.outUntil, untilMillis);
    }

    /** Returns the part of the recent requests that failed, from 0 to 1. */
    public double failing(String upstream, double now) {
        return states.containsKey(upstream) ? state(upstream, now).failing : 0;
    }

    /** Returns how many times slower than predicted the upstream is; 1 if it is not. */
    public double pace(String upstream, double now) {
        return states.containsKey(upstream) ? state(upstream, now).pace : 1;
    }

    /** Forgets upstreams that are gone. */
    public void retain(Collection<String> upstreams) {
        states.keySet().retainAll(upstreams);
    }

    private State state(String upstream, double now) {
        State state = states.computeIfAbsent(upstream, id -> new State());
        state.age(now);
        return state;
    }
}
