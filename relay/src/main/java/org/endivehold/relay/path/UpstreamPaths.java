package org.endivehold.relay.path;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Decides from a daemon's own connections which upstreams it reaches. An upstream is named by its id and its start,
 * since a new start says nothing of the path to the one before.
 *
 * <p>That a connection cannot be opened says nothing about the upstream alone: its process may have ended, or the path
 * from this daemon to it may be at fault. So reachability belongs to the pair of daemon and upstream, apart from the
 * upstream's health. What tells the two cases apart is whether the daemon reaches other upstreams at that time:
 *
 * <ul>
 *   <li>One upstream is not reached: the daemon's paths are doubted until another attempt has succeeded or failed.
 *   <li>Another one is reached: only that one path is lost, and the upstream is probably at fault.
 *   <li>Three in a row are not reached, and no other in between: the daemon has lost its paths.
 * </ul>
 *
 * <p>Only an opened connection proves a path; bytes on one that was opened earlier do not, since such connections may
 * live on while new ones are refused. After a loss, the daemon has to reach upstreams for some time before it sends
 * requests by itself again, first few, then more. That time doubles if the paths are lost again soon, so that a path
 * that flaps does not move all requests to and fro.
 *
 * <p>Example: of 26 upstreams, {@code e1} is not reached, then {@code e2} and {@code p1}, which are probed at once: the
 * paths are lost. 12 s later probes reach {@code e4} and {@code e7}; after 400 ms, requests begin to be sent from here
 * again, and another second later all are.
 */
public final class UpstreamPaths {
    /** State of all paths together. */
    public enum State {
        /** Upstreams are reached, but for single ones. */
        OPEN,
        /** An upstream was not reached, and no other has been tried since. */
        DOUBTED,
        /** No upstream is reached. */
        LOST,
        /** Upstreams are reached again since a short time. */
        RETURNING
    }

    /** Upstreams in a row that were not reached, after which all paths count as lost. */
    private static final int MIN_UNREACHED = 3;
    /** The same while the paths are returning. */
    private static final int MIN_UNREACHED_RETURNING = 2;
    /** Upstreams in a row that have to be reached before lost paths are returning. */
    private static final int MIN_REACHED = 2;
    /**
     * Part of a service's upstreams that are not reached, above which requests to it are better sent from elsewhere.
     */
    private static final double MAX_LOST_SHARE = 0.5;
    /** Least number of a service's upstreams that are not reached for that, unless it has fewer. */
    private static final int MIN_LOST = 2;
    /** Time for which upstreams have to be reached after a loss before requests are sent to them, in milliseconds. */
    private static final double MIN_HOLD_MILLIS = 400;
    /** The same after repeated losses, at most, in milliseconds. */
    private static final double MAX_HOLD_MILLIS = 3_200;
    /** Time after the return of paths within which another loss is a repeated one, in milliseconds. */
    private static final double FLAP_MILLIS = 10_000;
    /** Time in which the share of requests that are sent from here rises from none to all, in milliseconds. */
    private static final double RAMP_MILLIS = 1_000;

    /** The paths on which the last attempt to open a connection failed. */
    private final Map<String, Loss> losses = new HashMap<>();

    private final Set<String> unreachedInRow = new HashSet<>();
    private final Set<String> reachedInRow = new HashSet<>();
    private State state = State.OPEN;
    private double returnedAt = Double.NEGATIVE_INFINITY;
    private double holdMillis = MIN_HOLD_MILLIS;

    /**
     * The loss of the path to one upstream.
     *
     * @param at when the last attempt failed, in milliseconds
     * @param failures attempts that failed in a row
     */
    private record Loss(double at, int failures) {}

    /**
     * Records that a connection to an upstream was opened.
     *
     * @param upstream the upstream
     * @param known number of upstreams that could be reached
     * @param now time in milliseconds
     */
    public void recordReached(String upstream, int known, double now) {
        losses.remove(upstream);
        unreachedInRow.clear();
        reachedInRow.add(upstream);
        if (state == State.DOUBTED) {
            state = State.OPEN;
        } else if (state == State.LOST && reachedInRow.size() >= Math.min(MIN_REACHED, known)) {
            state = State.RETURNING;
            returnedAt = now;
            // While all paths were lost, each attempt failed; that says nothing of the single ones.
            losses.clear();
        }
    }

    /**
     * Records that no connection to an upstream could be opened.
     *
     * @param upstream the upstream
     * @param known number of upstreams that could be reached
     * @param now time in milliseconds
     */
    public void recordUnreached(String upstream, int known, double now) {
        losses.put(upstream, new Loss(now, failures(upstream) + 1));
        unreachedInRow.add(upstream);
        reachedInRow.clear();
        State current = state(now);
        if (current == State.RETURNING && unreachedInRow.size() >= Math.min(MIN_UNREACHED_RETURNING, known)) {
            lose(now);
        } else if (current == State.OPEN || current == State.DOUBTED) {
            state = State.DOUBTED;
            if (unreachedInRow.size() >= Math.min(MIN_UNREACHED, known)) {
                lose(now);
            }
        }
    }

    private void lose(double now) {
        boolean repeated = now - returnedAt < FLAP_MILLIS;
        holdMillis = repeated ? Math.min(MAX_HOLD_MILLIS, 2 * holdMillis) : MIN_HOLD_MILLIS;
        state = State.LOST;
    }

    /** Returns the state of all paths together. */
    public State state(double now) {
        if (state == State.RETURNING && now - returnedAt >= holdMillis + RAMP_MILLIS) {
            state = State.OPEN;
        }
        return state;
    }

    /** Returns whether no path is lost or in doubt. */
    public boolean isUndisturbed(double now) {
        return losses.isEmpty() && state(now) == State.OPEN;
    }

    /** Returns whether the last attempt to open a connection to an upstream failed. */
    public boolean isLost(String upstream) {
        return losses.containsKey(upstream);
    }

    /** Returns the number of attempts in a row to open a connection to an upstream that failed. */
    public int failures(String upstream) {
        Loss loss = losses.get(upstream);
        return loss == null ? 0 : loss.failures();
    }

    /**
     * Returns the time since the last failed attempt to reach an upstream, in milliseconds; infinite if it is reached.
     */
    public double sinceFailureMillis(String upstream, double now) {
        Loss loss = losses.get(upstream);
        return loss == null ? Double.POSITIVE_INFINITY : now - loss.at();
    }

    /**
     * Returns the part of the requests to a service that this daemon should send by itself, if others reach it.
     *
     * @param upstreams the service's upstreams
     * @param now time in milliseconds
     * @return from 0 to 1
     */
    public double localShare(Collection<String> upstreams, double now) {
        State current = state(now);
        if (current == State.LOST || current == State.DOUBTED || isMostlyLost(upstreams)) {
            return 0;
        }
        return current == State.OPEN ? 1 : Math.max(0, (now - returnedAt - holdMillis) / RAMP_MILLIS);
    }

    private boolean isMostlyLost(Collection<String> upstreams) {
        long lost = upstreams.stream().filter(this::isLost).count();
        return lost >= Math.min(MIN_LOST, Math.max(1, upstreams.size())) && lost > MAX_LOST_SHARE * upstreams.size();
    }

    /** Returns whether no upstream of a service is reached: all paths are lost, or each single one. */
    public boolean isCutOff(Collection<String> upstreams, double now) {
        return state(now) == State.LOST
                || (!upstreams.isEmpty() && upstreams.stream().allMatch(this::isLost));
    }

    /** Forgets the paths to all upstreams that are not among the given ones. */
    public void retain(Collection<String> upstreams) {
        losses.keySet().retainAll(upstreams);
        unreachedInRow.retainAll(upstreams);
        reachedInRow.retainAll(upstreams);
    }
}
