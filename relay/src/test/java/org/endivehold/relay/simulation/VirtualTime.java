package org.endivehold.relay.simulation;

import java.util.Comparator;
import java.util.PriorityQueue;

/** A clock that jumps from one event to the next. */
final class VirtualTime {
    private record Event(double at, long number, Runnable action) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::at).thenComparingLong(Event::number));
    private double now;
    private long next;

    /** Returns the time in milliseconds. */
    double now() {
        return now;
    }

    void after(double millis, Runnable action) {
        events.add(new Event(now + Math.max(0, millis), next++, action));
    }

    void runUntil(double millis) {
        while (!events.isEmpty() && events.peek().at() <= millis) {
            Event event = events.poll();
            now = event.at();
            event.action().run();
        }
        now = millis;
    }
}
