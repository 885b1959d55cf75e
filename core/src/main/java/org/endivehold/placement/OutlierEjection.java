package org.endivehold.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.endivehold.misc.UpstreamName;

/**
 * Outlier ejection: temporarily excludes upstreams that fail repeatedly from placement.
 *
 * <p>After {@link #FAILURES} consecutive failures an upstream is ejected for {@link #BASE_MILLIS}, and for twice as
 * long with each further failure, up to {@link #MAX_MILLIS}. When that time is over, one request is sent to it as a
 * probe: success readmits the upstream, failure ejects it again. At most {@link #MAX_FRACTION} of the upstreams are
 * ejected at once: if most of them fail, the cause is probably elsewhere, and ejecting all would stop all requests.
 */
public final class OutlierEjection {
    /** Consecutive failures after which an upstream is ejected. */
    public static final int FAILURES = 3;
    /** Duration of the first ejection, in milliseconds. */
    public static final long BASE_MILLIS = 1_000;
    /** Longest duration of an ejection, in milliseconds. */
    public static final long MAX_MILLIS = 60_000;
    /** Largest fraction of the configured upstreams that may be ejected at once. */
    public static final double MAX_FRACTION = 0.5;

    /** Keeps the shift that doubles the duration from overflowing; {@link #MAX_MILLIS} is reached earlier. */
    private static final int MAX_DOUBLINGS = 10;

    private final Map<UpstreamName, State> states = new HashMap<>();
    private int configuredCount;

    /** Creates a state in which no upstream has failed. */
    public OutlierEjection() {}

    private static final class State {
        private int failures;
        private boolean ejected;
        private long ejectedUntil;
        private boolean probing;
    }

    /**
     * Sets the configured upstreams, and drops the state of all others.
     *
     * @param upstreams names of all configured upstreams
     */
    public void retain(Set<UpstreamName> upstreams) {
        configuredCount = upstreams.size();
        states.keySet().retainAll(upstreams);
    }

    /**
     * Returns whether a request may be sent to an upstream.
     *
     * @param upstream the upstream
     * @param now monotonic time in milliseconds
     * @return true if it is not ejected, or if its ejection is over and no probe is in progress
     */
    public boolean allows(UpstreamName upstream, long now) {
        State state = states.get(upstream);
        return state == null || !state.ejected || (now >= state.ejectedUntil && !state.probing);
    }

    /**
     * Records that a request was sent to an upstream; if the upstream is ejected, the request is its probe.
     *
     * @param upstream the upstream
     */
    public void sent(UpstreamName upstream) {
        State state = states.get(upstream);
        if (state != null && state.ejected) {
            state.probing = true;
        }
    }

    /**
     * Records a sign that an upstream works, such as accepting a stream; readmits it.
     *
     * @param upstream the upstream
     */
    public void succeeded(UpstreamName upstream) {
        states.remove(upstream);
    }

    /**
     * Records that a request ended without evidence about the health of the upstream; the next request may be the
     * probe.
     *
     * @param upstream the upstream
     */
    public void inconclusive(UpstreamName upstream) {
        State state = states.get(upstream);
        if (state != null) {
            state.probing = false;
        }
    }

    /**
     * Records a failure of an upstream.
     *
     * @param upstream the upstream
     * @param now monotonic time in milliseconds
     * @return true if this failure ejected it
     */
    public boolean failed(UpstreamName upstream, long now) {
        State state = states.computeIfAbsent(upstream, name -> new State());
        state.failures++;
        state.probing = false;
        if (state.failures < FAILURES || (!state.ejected && !mayEjectAnother())) {
            return false;
        }
        int doublings = Math.min(state.failures - FAILURES, MAX_DOUBLINGS);
        state.ejected = true;
        state.ejectedUntil = now + Math.min(MAX_MILLIS, BASE_MILLIS << doublings);
        return true;
    }

    private boolean mayEjectAnother() {
        long ejectedCount = states.values().stream().filter(s -> s.ejected).count();
        return ejectedCount + 1 <= configuredCount * MAX_FRACTION;
    }
}
