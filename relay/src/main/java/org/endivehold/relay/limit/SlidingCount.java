package org.endivehold.relay.limit;

import java.util.ArrayDeque;
import java.util.Deque;

/** Counts events in a sliding span of time. */
final class SlidingCount {
    private final double spanMillis;
    private final Deque<Double> times = new ArrayDeque<>();

    SlidingCount(double spanMillis) {
        this.spanMillis = spanMillis;
    }

    void add(double now) {
        times.addLast(now);
    }

    int count(double now) {
        while (!times.isEmpty() && times.peekFirst() <= now - spanMillis) {
            times.removeFirst();
        }
        return times.size();
    }
}
