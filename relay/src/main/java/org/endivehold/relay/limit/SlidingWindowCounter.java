package org.endivehold.relay.limit;

import java.util.ArrayDeque;
import java.util.Deque;

/** Counts the events in a sliding time window. */
final class SlidingWindowCounter {
    private final double windowMillis;
    private final Deque<Double> times = new ArrayDeque<>();

    SlidingWindowCounter(double windowMillis) {
        this.windowMillis = windowMillis;
    }

    void add(double now) {
        times.addLast(now);
    }

    int count(double now) {
        while (!times.isEmpty() && times.peekFirst() <= now - windowMillis) {
            times.removeFirst();
        }
        return times.size();
    }
}
