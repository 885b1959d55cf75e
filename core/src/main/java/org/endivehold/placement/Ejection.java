package org.endivehold.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.endivehold.misc.UpstreamName;

/**
 * Takes upstreams that fail repeatedly out of placement for a time.
 *
 * <p>After {@link #FAILURES} failures in a row an upstream is ejected for {@link #BASE_MILLIS}, twice as long with each
 * further failure up to {@link #MAX_MILLIS}. When the time is over, one request tries it: success brings the upstream
 * back, failure ejects it again. No more than {@link #MAX_FRACTION} of the upstreams are ejected at once, since when
 * most fail, the fault lies more likely elsewhere, and sending nothing anywhere would help nobody.
 */
public final class Ejection {
    /** Failures in a row after which an upstream is ejected. */
    public static final int FAILURES = 3;
    /** First time out, in milliseconds. */
    public static final long BASE_MILLIS = 1_000;
    /** Longest time out, in milliseconds. */
    public static final long MAX_MILLIS = 60_000;
    /** Largest part of the upstreams that may be ejected at once. */
    public static final double MAX_FRACTION = 0.5;

    private static final int MAX_DOUBLINGS = 10;

    private final Map<UpstreamName, State> states = new HashMap<>();
    private int known;

    /** Creates a state in which no upstream has failed. */
    public Ejection() {}

    private static final class State {
        private int failures;
        private boolean ejected;
        private long until;
        private boolean trying;
    }

    /**
     * Sets the upstreams that are configured; forgets others.
     *
     * @param upstreams their names
     */
    public void retain(Set<UpstreamName> upstreams) {
        known = upstreams.size();
        states.keySet().retainAll(upstreams);
    }

    /**
     * Tells whether an upstream may get a request.
     *
     * @param upstream the upstream
     * @param now monotonic time in milliseconds
     * @return true if it is not ejected, or its time is over and nothing tries it yet
     */
    public boolean allows(UpstreamName upstream, long now) {
        State state = states.get(upstream);
        return state == null || !state.ejected || (now >= state.until && !state.trying);
    }

    /**
     * A request goes to an upstream.
     *
     * @param upstream the upstream
     */
    public void sent(UpstreamName upstream) {
        State state = states.get(upstream);
        if (state != null && state.ejected) {
            state.trying = true;
        }
    }

    /**
     * An upstream gave a sign of health, such as accepting a stream.
     *
     * @param upstream the upstream
     */
    public void succeeded(UpstreamName upstream) {
        states.remove(upstream);
    }

    /**
     * A request ended without telling anything about the upstream.
     *
     * @param upstream the upstream
     */
    public void inconclusive(UpstreamName upstream) {
        State state = states.get(upstream);
        if (state != null) {
            state.trying = false;
        }
    }

    /**
     * An upstream failed.
     *
     * @param upstream the upstream
     * @param now monotonic time in milliseconds
     * @return true if this failure ejected it
     */
    public boolean failed(UpstreamName upstream, long now) {
        State state = states.computeIfAbsent(upstream, name -> new State());
        state.failures++;
        state.trying = false;
        if (state.failures < FAILURES || (!state.ejected && !roomForOneMore())) {
            return false;
        }
        int doublings = Math.min(state.failures - FAILURES, MAX_DOUBLINGS);
        state.ejected = true;
        state.until = now + Math.min(MAX_MILLIS, BASE_MILLIS << doublings);
        return true;
    }

    private boolean roomForOneMore() {
        long out = states.values().stream().filter(s -> s.ejected).count();
        return out + 1 <= known * MAX_FRACTION;
    }
}
