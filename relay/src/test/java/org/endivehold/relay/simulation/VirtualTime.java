package org.endivehold.relay.simulation;

import java.util.Comparator;
import java.util.PriorityQueue;

/** A clock and event queue for simulations: time advances from one scheduled action to the next. */
final class VirtualTime {
    private record ScheduledAction(double at, long number, Runnable action) {}

    private final PriorityQueue<ScheduledAction> queue = new PriorityQueue<>(
            Comparator.comparingDouble(ScheduledAction::at).thenComparingLong(ScheduledAction::number));
    private double now;
    private long nextNumber;

    /** Returns the current virtual time in milliseconds. */
    double now() {
        return now;
    }

    void after(double millis, Runnable action) {
        queue.add(new ScheduledAction(now + Math.max(0, millis), nextNumber++, action));
    }

    void runUntil(double millis) {
        while (!queue.isEmpty() && queue.peek().at() <= millis) {
            ScheduledAction next = queue.poll();
            now = next.at();
            next.action().run();
        }
        now = millis;
    }
}
