package org.endivehold.relay.crash;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The evidence against one trait. Crashes before the last answer that went well are kept as well, though they do not
 * count: a late report of one of them is no news then.
 */
final class Suspect {
    /** Most crashes that are remembered; the oldest are forgotten first. */
    private static final int MAX_CRASHES = 16;

    private final Map<UpstreamStart, Double> crashedAt = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<UpstreamStart, Double> eldest) {
            return size() > MAX_CRASHES;
        }
    };

    /** The crashes that count. */
    private final Set<UpstreamStart> crashes = new HashSet<>();

    private int trials;
    private double barredAt = Double.NaN;
    private double nextTrialAt;

    boolean isBarred() {
        return !Double.isNaN(barredAt);
    }

    /** Returns the time of the newest crash, counting or not, in milliseconds. */
    double newestCrashAt() {
        return crashedAt.values().stream().mapToDouble(at -> at).max().orElse(Double.NEGATIVE_INFINITY);
    }

    /** Adds a crash; returns whether it was not known. */
    boolean add(UpstreamStart upstream, double at) {
        boolean news = crashedAt.putIfAbsent(upstream, at) == null;
        if (news) {
            crashes.add(upstream);
            crashes.retainAll(crashedAt.keySet());
        }
        return news;
    }

    /** Clears the crashes up to a time; returns whether there were any. */
    boolean clear(double upTo) {
        boolean cleared = crashes.removeIf(upstream -> crashedAt.get(upstream) <= upTo);
        if (cleared) {
            barredAt = Double.NaN;
            trials = 0;
        }
        return cleared;
    }

    /** Returns the crashes that count. */
    Set<UpstreamStart> crashes() {
        return crashes;
    }

    /** Returns the crashes that count, with their ages in milliseconds. */
    List<SuspectTrait.Crash> crashes(double now) {
        List<SuspectTrait.Crash> aged = new ArrayList<>();
        crashes.forEach(upstream -> aged.add(new SuspectTrait.Crash(upstream, now - crashedAt.get(upstream))));
        return aged;
    }

    /** Returns whether a crash is known, counting or not. */
    boolean knows(UpstreamStart upstream) {
        return crashedAt.containsKey(upstream);
    }

    /** Returns the number of requests that were let through as trials since it was barred. */
    int trials() {
        return trials;
    }

    /** Returns when it was barred, in milliseconds. */
    double barredAt() {
        return barredAt;
    }

    /** Returns when the next trial is due, in milliseconds. */
    double nextTrialAt() {
        return nextTrialAt;
    }

    void bar(double now, double firstTrialAt) {
        barredAt = now;
        nextTrialAt = firstTrialAt;
    }

    void unbar() {
        barredAt = Double.NaN;
    }

    /** Records that a request was let through; {@code count} is the number of trials by now. */
    void tried(int count, double nextAt) {
        trials = count;
        nextTrialAt = nextAt;
    }
}
