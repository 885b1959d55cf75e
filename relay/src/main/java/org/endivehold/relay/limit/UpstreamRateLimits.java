package org.endivehold.relay.limit;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import org.endivehold.misc.RendezvousHash;
import org.endivehold.relay.route.UpstreamEntry;

/**
 * The request rates that upstreams announce for all daemons together, and this daemon's part of each.
 *
 * <p><b>Which announcement holds.</b> An upstream repeats its limit in every answer, and an answer without one ends it.
 * Answers overtake each other, and daemons tell each other what they were told, so a late answer may be older than what
 * is known. A lower limit is taken over whatever its age, since it does no harm for the time until the next answer. A
 * higher limit, or none, is taken over only if the answer's request was sent after the known limit was last heard of:
 * then the answer is newer for sure.
 *
 * <p><b>How daemons share a limit of N requests a second.</b> The aim is 4 N requests in any 4 s; 6 N + 5 are the bound
 * that upstreams bear. In a small fleet, daemons report each request to a limited upstream to each other, and each
 * counts them all. A report takes a while, in which others may send, too, so a daemon that has just sent some counts
 * the same number for each other daemon, and the largest counts up to which daemons send are different for each, and
 * all below the bound: if all of them send at the same moment, they do not exceed it. Example: with a limit of 1.8 a
 * second and 8 daemons, each sends until 7 requests are counted in 4 s; if all of them send when 6 are, it is 14, and
 * the bound 15.
 *
 * <p>A daemon whose reports do not arrive may be sending. So a daemon that hears of only a part of the others takes
 * only that part of the limit, and groups that cannot reach each other stay within the whole. In a large fleet, where
 * daemons do not report to each other, some that the rendezvous hash picks share most of the limit, and the others send
 * nothing: even if daemons with different views pick different ones, two such sets stay within the bound.
 */
public final class UpstreamRateLimits {
    /** Window over which the limit holds, in milliseconds. */
    static final double WINDOW_MILLIS = 4_000;
    /** Longest window of a daemon with a very small part of a limit, so that it tries the upstream at times. */
    private static final double MAX_WINDOW_MILLIS = 60_000;
    /** Requests above the limit that an upstream bears in a window, as a ratio of the limit. */
    private static final double BOUND_RATIO = 1.5;
    /** Further requests above the limit that an upstream bears in a window. */
    private static final double BOUND_SLACK = 5;
    /** Part of the bound that is used up if all chosen daemons of a large fleet send at the same moment. */
    private static final double CHOSEN_BOUND_SHARE = 0.5;
    /** Part of the limit that the chosen daemons share; more of them would not fit into their part of the bound. */
    private static final double CHOSEN_LIMIT_SHARE = 0.75;
    /** Time within which another daemon's report of a request arrives, in milliseconds. */
    private static final double REPORT_DELAY_MILLIS = 50;
    /** Time for which an allowance is kept: it takes a hash of each daemon's name, and there may be hundreds. */
    private static final double ALLOWANCE_MILLIS = 250;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final DaemonCount daemons;
    private final Map<String, State> states = new HashMap<>();

    /** What is known about one start of an upstream. */
    private static final class State {
        private final long startedAtMillis;
        private OptionalDouble perSecond = OptionalDouble.empty();
        private double heardAt = Double.NEGATIVE_INFINITY;
        private final Deque<Double> sends = new ArrayDeque<>();
        private final Deque<Double> ownSends = new ArrayDeque<>();
        private Allowance allowance;
        private double allowanceUntil;

        State(long startedAtMillis) {
            this.startedAtMillis = startedAtMillis;
        }

        /** Returns when the newest request but some was sent, in milliseconds; minus infinity if there are fewer. */
        private static double sentAt(Deque<Double> times, int newer) {
            if (times.size() <= newer) {
                return Double.NEGATIVE_INFINITY;
            }
            Iterator<Double> newestFirst = times.descendingIterator();
            for (int i = 0; i < newer; i++) {
                newestFirst.next();
            }
            return newestFirst.next();
        }

        /** Forgets sends that do not count any more. */
        private void forget(double now) {
            boolean limited = perSecond.isPresent();
            double oldest = now - (limited ? MAX_WINDOW_MILLIS : WINDOW_MILLIS);
            double most = limited ? 1 + perWindow(perSecond.getAsDouble()) : Double.POSITIVE_INFINITY;
            while (sends.size() > most || (!sends.isEmpty() && sends.peekFirst() <= oldest)) {
                sends.removeFirst();
            }
            while (!ownSends.isEmpty() && ownSends.peekFirst() <= now - REPORT_DELAY_MILLIS) {
                ownSends.removeFirst();
            }
        }
    }

    /**
     * Requests that this daemon may see sent before it stops sending.
     *
     * @param requests the number of requests
     * @param windowMillis the time in which they count, in milliseconds
     */
    private record Allowance(int requests, double windowMillis) {}

    /** Creates it without limits. */
    public UpstreamRateLimits(DaemonCount daemons) {
        this.daemons = daemons;
    }

    /**
     * Records what an upstream said in an answer.
     *
     * @param announcement what it said
     * @param requestSentAt when the request was sent to which it answered, in milliseconds
     * @param now time in milliseconds
     * @return whether that changes the limit
     */
    public boolean announced(RateLimitAnnouncement announcement, double requestSentAt, double now) {
        State state = state(announcement.upstream(), announcement.startedAtMillis());
        if (announcement.startedAtMillis() < state.startedAtMillis) {
            return false;
        }
        OptionalDouble theirs = announcement.perSecond();
        boolean changes = !theirs.equals(state.perSecond);
        if (changes && !isLower(theirs, state.perSecond) && requestSentAt <= state.heardAt) {
            return false;
        }
        if (changes) {
            state.perSecond = theirs;
            state.allowanceUntil = now;
        }
        if (changes || theirs.isPresent()) {
            state.heardAt = now;
        }
        return changes;
    }

    private static boolean isLower(OptionalDouble limit, OptionalDouble other) {
        return limit.isPresent() && (other.isEmpty() || limit.getAsDouble() < other.getAsDouble());
    }

    /** Returns the limit of an upstream, in requests a second; empty if it has none. */
    public OptionalDouble limit(UpstreamEntry upstream) {
        return known(upstream).map(state -> state.perSecond).orElse(OptionalDouble.empty());
    }

    /** Returns the limits of all upstreams, each with the time since it was last heard of, in milliseconds. */
    public Map<RateLimitAnnouncement, Double> ages(double now) {
        Map<RateLimitAnnouncement, Double> ages = new HashMap<>();
        states.forEach((id, state) -> {
            if (state.perSecond.isPresent()) {
                ages.put(new RateLimitAnnouncement(id, state.startedAtMillis, state.perSecond), now - state.heardAt);
            }
        });
        return ages;
    }

    /**
     * Records that this daemon sends a request to an upstream.
     *
     * @return whether the other daemons count on being told
     */
    public boolean recordSent(UpstreamEntry upstream, double now) {
        State state = state(upstream.id(), upstream.startedAtMillis());
        addSent(state, now);
        state.ownSends.addLast(now);
        return state.perSecond.isPresent() && daemons.usesFullMesh();
    }

    /** Records that another daemon sent a request to an upstream with a limit. */
    public void recordSentByOther(String upstream, long startedAtMillis, double now) {
        State state = state(upstream, startedAtMillis);
        if (state.startedAtMillis == startedAtMillis) {
            addSent(state, now);
        }
    }

    private void addSent(State state, double now) {
        state.sends.addLast(now);
        state.forget(now);
    }

    /**
     * Returns the time until this daemon may send a request to an upstream, as far as its limit goes.
     *
     * @return time in milliseconds; 0 if it may send now
     */
    public double waitMillis(UpstreamEntry upstream, double now) {
        Optional<State> known = known(upstream);
        if (known.isEmpty() || known.get().perSecond.isEmpty()) {
            return 0;
        }
        State state = known.get();
        if (now >= state.allowanceUntil) {
            state.allowance = allowance(upstream.id(), state.perSecond.getAsDouble());
            state.allowanceUntil = now + ALLOWANCE_MILLIS;
        }
        Allowance allowance = state.allowance;
        if (allowance.requests() <= 0) {
            return allowance.windowMillis();
        }
        double waitMillis = waitMillis(state, allowance.requests(), allowance.windowMillis(), now);
        if (waitMillis > 0) {
            return waitMillis;
        }
        int requests = allowance.requests() - unreportedSends(state, now);
        boolean mayBeFull = requests <= 0 || waitMillis(state, requests, allowance.windowMillis(), now) > 0;
        return mayBeFull ? REPORT_DELAY_MILLIS : 0;
    }

    private static double waitMillis(State state, int requests, double windowMillis, double now) {
        return Math.max(0, State.sentAt(state.sends, requests - 1) + windowMillis - now);
    }

    /** Returns how many requests the others may just have sent, if they have sent as many as this daemon. */
    private int unreportedSends(State state, double now) {
        if (!daemons.usesFullMesh()) {
            return 0;
        }
        long justSent = state.ownSends.stream()
                .filter(at -> at > now - REPORT_DELAY_MILLIS)
                .count();
        return (int) justSent * (daemons.names().size() - 1);
    }

    private Allowance allowance(String upstream, double perSecond) {
        double bound = BOUND_RATIO * perWindow(perSecond) + BOUND_SLACK;
        if (daemons.usesFullMesh()) {
            Allowance equal =
                    allowance(perSecond * daemons.heard() / daemons.names().size());
            int largest = (int) bound - 1 - RendezvousHash.position(daemons.self(), daemons.names(), upstream);
            return new Allowance(Math.min(equal.requests(), largest), equal.windowMillis());
        }
        int chosen = (int) (bound * CHOSEN_BOUND_SHARE);
        if (!RendezvousHash.chosen(daemons.self(), daemons.names(), upstream, chosen)) {
            return new Allowance(0, WINDOW_MILLIS);
        }
        return allowance(CHOSEN_LIMIT_SHARE
                * perSecond
                / Math.min(chosen, daemons.names().size()));
    }

    /** Returns the allowance for a rate: a whole number of requests, in a window that is longer for a low rate. */
    private static Allowance allowance(double perSecond) {
        int requests = Math.max(1, (int) perWindow(perSecond));
        return new Allowance(requests, Math.min(MAX_WINDOW_MILLIS, MILLIS_PER_SECOND * requests / perSecond));
    }

    private static double perWindow(double perSecond) {
        return perSecond * WINDOW_MILLIS / MILLIS_PER_SECOND;
    }

    /** Forgets the upstreams that are not among the given ids. */
    public void retain(Collection<String> upstreams) {
        states.keySet().retainAll(upstreams);
    }

    private Optional<State> known(UpstreamEntry upstream) {
        return Optional.ofNullable(states.get(upstream.id()))
                .filter(state -> state.startedAtMillis == upstream.startedAtMillis());
    }

    /** Returns what is known about the latest start of an upstream, which this may be. */
    private State state(String upstream, long startedAtMillis) {
        State known = states.get(upstream);
        if (known == null || known.startedAtMillis < startedAtMillis) {
            known = new State(startedAtMillis);
            states.put(upstream, known);
        }
        return known;
    }
}
